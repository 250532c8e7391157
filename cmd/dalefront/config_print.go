package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"dalefront/internal/dynconfig"
	"dalefront/internal/peer"
	"dalefront/wire"
)

// jsonDocument is a document in the output of `config get --json`.
type jsonDocument struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Body any    `json:"body"`
}

// jsonConfig is the output of `config get --json`.
type jsonConfig struct {
	Documents  []jsonDocument `json:"documents"`
	Generation uint64         `json:"generation"`
}

func printDocuments(out io.Writer, response *peer.ConfigReadResponse, asJSON bool) error {
	if asJSON {
		output := jsonConfig{Documents: []jsonDocument{}, Generation: response.Generation}
		for _, document := range response.Documents {
			output.Documents = append(output.Documents, jsonDocument{document.Kind, document.Name, readableBody(document.Kind, document.Body)})
		}
		return json.NewEncoder(out).Encode(output)
	}
	fmt.Fprintf(out, "generation %d\n", response.Generation)
	for _, document := range response.Documents {
		fmt.Fprintf(out, "%s: %s\n", document.ID(), bodyText(document.Kind, document.Body))
	}
	return nil
}

// jsonChange is the change of a document in the output of `config history --json`. Before is null if the
// document was added. After is null if the document was removed.
type jsonChange struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

// jsonGeneration is an entry in the output of `config history --json`.
type jsonGeneration struct {
	Number  uint64       `json:"generation"`
	At      time.Time    `json:"at"`
	By      string       `json:"by"`
	Apply   string       `json:"apply"`
	Changes []jsonChange `json:"changes"`
}

func printHistory(out io.Writer, history []dynconfig.History, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(newJSONHistory(history))
	}
	for _, entry := range history {
		at := time.UnixMicro(entry.At).UTC().Format(time.RFC3339)
		fmt.Fprintf(out, "generation %d, %s, by %q, apply %s\n", entry.Generation, at, entry.Author, entry.ApplyID)
		for _, change := range entry.Changes {
			printChange(out, &change)
		}
	}
	return nil
}

// newJSONHistory converts the history to its form in JSON.
func newJSONHistory(history []dynconfig.History) []jsonGeneration {
	generations := []jsonGeneration{}
	for _, entry := range history {
		generation := jsonGeneration{Number: entry.Generation, At: time.UnixMicro(entry.At).UTC(), By: entry.Author, Apply: entry.ApplyID}
		for _, change := range entry.Changes {
			generation.Changes = append(generation.Changes, jsonChange{
				change.Kind, change.Name, readableBody(change.Kind, change.Before), readableBody(change.Kind, change.After),
			})
		}
		generations = append(generations, generation)
	}
	return generations
}

// jsonStatus is the output of `config status --json`.
type jsonStatus struct {
	Controllers []controllerStatus `json:"controllers"`
	Stored      uint64             `json:"stored"` // number of the stored generation
}

func printStatus(out io.Writer, stored uint64, statuses []controllerStatus, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(jsonStatus{statuses, stored})
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "stored: generation %d\n", stored)
	for _, controller := range statuses {
		switch {
		case !controller.Responded:
			fmt.Fprintf(table, "%s\tdoes not answer, or knows no such configuration\n", controller.Label)
		case !controller.Loaded:
			fmt.Fprintf(table, "%s\thas not read the configuration yet\n", controller.Label)
		default:
			fmt.Fprintf(table, "%s\tgeneration %d\tsince %s\n", controller.Label, controller.Generation, controller.Since.Format(time.RFC3339Nano))
		}
		for _, document := range controller.UnusableDocuments {
			fmt.Fprintf(table, "%s\tcan't use %s\n", controller.Label, document)
		}
	}
	return table.Flush()
}

func printChange(out io.Writer, change *dynconfig.HistoryChange) {
	before, after := bodyText(change.Kind, change.Before), bodyText(change.Kind, change.After)
	switch {
	case change.Before == nil:
		fmt.Fprintf(out, "  + %s/%s: %s\n", change.Kind, change.Name, after)
	case change.After == nil:
		fmt.Fprintf(out, "  - %s/%s: %s\n", change.Kind, change.Name, before)
	default:
		fmt.Fprintf(out, "  ~ %s/%s: %s, was %s\n", change.Kind, change.Name, after, before)
	}
}

// readableBody returns a document's body with the field names that configuration files use. The body of a
// document of an unknown kind keeps its stored form.
func readableBody(kind string, body []byte) any {
	if body == nil {
		return nil
	}
	if readable, err := dynconfig.DecodeFields(kind, body); err == nil {
		return readable
	}
	var stored any
	_ = wire.Unmarshal(body, &stored) // a body that can't be decoded is printed as null
	return stored
}

// bodyText returns a document's body as JSON, or the text of the error if it can't be encoded.
func bodyText(kind string, body []byte) string {
	text, err := json.Marshal(readableBody(kind, body))
	if err != nil {
		return err.Error()
	}
	return string(text)
}
