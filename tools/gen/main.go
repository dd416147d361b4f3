// Command gen generates Go code from a .proto file without protoc.
//
// Run it in the tools module: go run ./gen ../wire/wire.proto
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: gen FILE.proto")
		os.Exit(2)
	}
	if err := generate(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

// generate generates the Go code of the .proto file at path and writes it to the same directory.
func generate(path string) error {
	dir, name := filepath.Split(path)
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return fmt.Errorf("compile %s: %w", path, err)
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	}
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return fmt.Errorf("prepare code generation for %s: %w", path, err)
	}
	for _, f := range plugin.Files {
		if f.Generate {
			internal_gengo.GenerateFile(plugin, f)
		}
	}
	response := plugin.Response()
	if response.Error != nil {
		return fmt.Errorf("generate %s: %s", path, *response.Error)
	}
	for _, f := range response.File {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write generated code: %w", err)
		}
	}
	return nil
}
