package node

import (
	"encoding/json"
	"slices"

	"egretshunt/conf"
	"egretshunt/ctrl"
	"egretshunt/disk"
	"egretshunt/ledger"
	"egretshunt/quorum"
)

// Restore writes a snapshot made by ctl snapshot into the empty data folder of a
// control VM. Every control VM of the group must be restored from the same snapshot.
func Restore(s *conf.Settings, snapshot []byte) error {
	if s.Member == nil {
		return Failed.New("the settings have no [member] section")
	}
	if err := ctrl.NewMachine(ledger.Config{}).Restore(snapshot); err != nil {
		return Failed.Wrap(err, "decode snapshot")
	}
	folder, err := disk.Open(s.Data)
	if err != nil {
		return Failed.Wrap(err, "open data folder %s", s.Data)
	}
	defer folder.Close()
	files, err := folder.List()
	if err != nil {
		return Failed.Wrap(err, "list data folder")
	}
	if slices.Contains(files, "snap") || slices.ContainsFunc(files, func(n string) bool { return len(n) > 4 && n[:4] == "log-" }) {
		return Failed.New("data folder %s already holds state; move it away first", s.Data)
	}
	data, err := json.Marshal(quorum.Snapshot{Index: 1, Term: 1, Members: quorum.Members{Voters: s.Member.Members}, Data: snapshot})
	if err != nil {
		return Failed.Wrap(err, "encode snapshot")
	}
	log, _, err := disk.OpenLog(folder)
	if err != nil {
		return Failed.Wrap(err, "open log")
	}
	defer log.Close()
	hardState, err := json.Marshal(quorum.HardState{Term: 1})
	if err != nil {
		return Failed.Wrap(err, "encode term")
	}
	if err := log.Reset(data, [][]byte{append([]byte{'h'}, hardState...)}); err != nil {
		return Failed.Wrap(err, "write snapshot")
	}
	return nil
}
