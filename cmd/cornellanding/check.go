package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/inspector"
	"cornellanding.example/platform/adapter"
	"cornellanding.example/wire/parser"
)

// checkCommand checks files. Its exit status is 0 if they are clean, exitFailed if there
// are warnings with --strict, and exitInvalid if there are errors.
type checkCommand struct {
	*streams
	Against string `long:"against" value-name:"FILE" description:"Configuration in force, to print what changes"`
	Strict  bool   `long:"strict" description:"Exit with status 1 for warnings"`
	JSON    bool   `long:"json" description:"Print findings and differences as JSON lines"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true" required:"true"`
}

// checked is the outcome for one file.
type checked struct {
	file     string
	findings []finding
	// config is nil for settings and for a file with errors.
	config *cataloguer.Config
}

// finding is a finding with its place in the file. The line is 0 if it is not known.
type finding struct {
	File     string `json:"file"`
	Line     int    `json:"line,omitempty"`
	Severity string `json:"severity"`
	Field    string `json:"field"`
	Value    string `json:"value"`
	Reason   string `json:"reason"`
}

// difference is a line of the comparison with the configuration in force.
type difference struct {
	File           string `json:"file"`
	Subject        string `json:"subject"`
	Change         string `json:"change"`
	RefusesCallers bool   `json:"refusesCallers"`
}

// Execute implements flags.Commander.
func (cc *checkCommand) Execute([]string) error {
	inForce, err := cc.readInForce()
	if err != nil {
		return err
	}
	worst := error(nil)
	for _, file := range cc.Args.Files {
		ch := checkFile(file)
		if err := cc.print(ch, inForce); err != nil {
			return err
		}
		worst = worse(worst, cc.statusOf(ch))
	}
	return worst
}

// readInForce reads the file of --against, or returns nil without it.
func (cc *checkCommand) readInForce() (*cataloguer.Config, error) {
	if cc.Against == "" {
		return nil, nil
	}
	ch := checkFile(cc.Against)
	if ch.config == nil {
		return nil, fmt.Errorf("--against %s: no valid catalogue or configuration", cc.Against)
	}
	return ch.config, nil
}

func worse(le, ri error) error {
	if errors.Is(le, errInvalid) || ri == nil {
		return le
	}
	return ri
}

func (cc *checkCommand) statusOf(ch checked) error {
	for _, fi := range ch.findings {
		if fi.Severity == string(inspector.Error) {
			return errInvalid
		}
	}
	if cc.Strict && len(ch.findings) > 0 {
		return errFailed
	}
	return nil
}

func (cc *checkCommand) print(ch checked, inForce *cataloguer.Config) error {
	for _, fi := range ch.findings {
		if err := cc.printLine(fi, fi.text()); err != nil {
			return err
		}
	}
	if inForce != nil && ch.config != nil {
		for _, di := range inspector.Compare(*inForce, *ch.config) {
			line := fmt.Sprintf("%s: %s: %s", ch.file, di.Subject, di.Change)
			if di.RefusesCallers {
				line += " (may refuse callers that are served now)"
			}
			shown := difference{File: ch.file, Subject: di.Subject, Change: di.Change, RefusesCallers: di.RefusesCallers}
			if err := cc.printLine(shown, line); err != nil {
				return err
			}
		}
	}
	if len(ch.findings) == 0 && !cc.JSON {
		fmt.Fprintln(cc.out, ch.file+": ok")
	}
	return nil
}

// printLine prints a finding or a difference. Errors and warnings go to standard error
// unless the output is JSON.
func (cc *checkCommand) printLine(entry any, text string) error {
	if cc.JSON {
		return json.NewEncoder(cc.out).Encode(entry)
	}
	out := cc.out
	if _, isFinding := entry.(finding); isFinding {
		out = cc.err
	}
	_, err := fmt.Fprintln(out, text)
	return err
}

// text returns the line for a finding. Errors have no label, as those of other commands.
func (fi finding) text() string {
	label := ""
	if fi.Severity == string(inspector.Warning) {
		label = "warning: "
	}
	switch {
	case fi.Field == "" && fi.Line == 0:
		return label + fi.Reason
	case fi.Line == 0:
		return fmt.Sprintf("%s: %s%s: %q: %s", fi.File, label, fi.Field, fi.Value, fi.Reason)
	default:
		return fmt.Sprintf("%s:%d: %s%s: %q: %s", fi.File, fi.Line, label, fi.Field, fi.Value, fi.Reason)
	}
}

// hasField reports whether a YAML file has a top-level field, by its text alone.
func hasField(content []byte, field string) bool {
	return bytes.HasPrefix(content, []byte(field+":")) || bytes.Contains(content, []byte("\n"+field+":"))
}

// checkFile checks the settings file of an instance, in either format, a catalogue, or a
// configuration of the users' platform, which is JSON. It distinguishes them by a field
// that only one of them has.
func checkFile(file string) checked {
	content, err := os.ReadFile(file)
	ch := checked{file: file}
	switch {
	case err != nil:
		ch.findings = findingsOf(file, err)
	case bytes.HasPrefix(bytes.TrimSpace(content), []byte("{")):
		pc, err := adapter.ParseConfig(file, content)
		ch.examine(content, pc.Config, pc.Field, err)
	case hasField(content, "node"):
		_, err := adapter.ParseSettings(file, content)
		ch.findings = findingsOf(file, err)
	case hasField(content, "dataCentres"):
		cat, err := parser.ParseCatalogue(file, content)
		ch.examine(content, cataloguer.Config{Catalogue: cat}, func(field string) string { return field }, err)
	default:
		_, err := parser.ParseSettings(file, content)
		ch.findings = findingsOf(file, err)
	}
	return ch
}

// examine adds the findings about a configuration whose file could be read.
func (ch *checked) examine(content []byte, co cataloguer.Config, fieldOf func(string) string, err error) {
	if err != nil {
		ch.findings = findingsOf(ch.file, err)
		return
	}
	ch.config = &co
	for _, fi := range inspector.Inspect(co) {
		field := fieldOf(fi.Field)
		ch.findings = append(ch.findings, finding{
			File: ch.file, Line: parser.FieldLine(content, field), Severity: string(fi.Severity), Field: field, Value: fi.Value, Reason: fi.Reason,
		})
		if fi.Severity == inspector.Error {
			ch.config = nil
		}
	}
}

// findingsOf returns the errors that err joins.
func findingsOf(file string, err error) []finding {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []finding{findingOf(file, err)}
	}
	var findings []finding
	for _, one := range joined.Unwrap() {
		findings = append(findings, findingOf(file, one))
	}
	return findings
}

func findingOf(file string, err error) finding {
	var fe *parser.FieldError
	if !errors.As(err, &fe) {
		return finding{File: file, Severity: string(inspector.Error), Reason: err.Error()}
	}
	return finding{File: fe.File, Line: fe.Line, Severity: string(inspector.Error), Field: fe.Field, Value: fe.Value, Reason: fe.Reason}
}
