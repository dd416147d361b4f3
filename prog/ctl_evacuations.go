package prog

import (
	"fmt"
	"io"
	"net/http"

	"egretshunt/ctrl"
)

// evacuateArgs are the arguments of evacuate.
type evacuateArgs struct {
	Place string `arg:"positional,required" help:"data centre"`
	End   bool   `arg:"--end" help:"end the evacuation"`
}

func (e *evacuateArgs) run(a *ctlArgs, out io.Writer) error {
	method := http.MethodPost
	if e.End {
		method = http.MethodDelete
	}
	return a.sendAndPrint(apiRequest{method: method, path: "/evacuations/" + e.Place}, out)
}

func (a *ctlArgs) listEvacuations(out io.Writer) error {
	if a.JSON {
		return a.sendAndPrint(getRequest("/evacuations", nil), out)
	}
	var places []ctrl.PlaceState
	if err := a.roundTrip(getRequest("/evacuations", nil), &places); err != nil {
		return err
	}
	for _, p := range places {
		state := "readmitted"
		if p.Evacuated {
			state = "evacuated"
		}
		fmt.Fprintf(out, "%-20s %-10s since %s\n", p.Place, state, p.At.Format("2006-01-02T15:04:05Z07:00"))
	}
	return nil
}
