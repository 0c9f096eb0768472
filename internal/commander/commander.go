// Package commander implements the commands of gentianctl.
//
//	c := commander.New(os.Stdout, os.Stderr)
//	os.Exit(c.Run(ctx, os.Args[1:]))
package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"gentianbarrow.example/internal/inspector"
	"gentianbarrow.example/internal/validator"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

const (
	// commandTimeout limits the duration of a whole command.
	commandTimeout = 60 * time.Second
	// maxViewBytes limits the size of a node's response.
	maxViewBytes = 64 << 20
)

// Output is the format of a command's output.
type Output string

// The output formats.
const (
	OutputText Output = "text"
	OutputJSON Output = "json"
)

// Commander runs the commands of gentianctl.
type Commander struct {
	// Out receives the output of commands.
	Out io.Writer
	// Err receives errors and the advice on them.
	Err io.Writer
	// NewTicketer returns a ticketer that uses the platform at a URL.
	NewTicketer func(platformURL string) *ticketer.Ticketer
	// ReadFile returns the content of a file, or of the standard input for "-".
	ReadFile func(path string) ([]byte, error)
	// FetchView returns the state of the node that has the given admin address.
	FetchView func(ctx context.Context, address string) (inspector.View, error)
}

// New returns a Commander that reads files from disk and uses the network.
func New(out, errOut io.Writer) *Commander {
	return &Commander{
		Out: out, Err: errOut, ReadFile: readFile, FetchView: fetchView,
		NewTicketer: func(url string) *ticketer.Ticketer { return ticketer.New(storer.NewHTTPClient(url)) },
	}
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// nodeClient asks nodes for their state.
var nodeClient = &http.Client{Transport: &validator.Transport{Base: http.DefaultTransport}}

func fetchView(ctx context.Context, address string) (inspector.View, error) {
	var v inspector.View
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/blackboard", nil)
	if err != nil {
		return v, &NodeError{Address: address, Cause: err}
	}
	resp, err := nodeClient.Do(req)
	if err != nil {
		return v, &NodeError{Address: address, Cause: err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	if resp.StatusCode != http.StatusOK {
		return v, &NodeError{Address: address, Cause: &storer.StatusError{Status: resp.StatusCode}}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxViewBytes)).Decode(&v); err != nil {
		return v, &NodeError{Address: address, Cause: err}
	}
	return v, nil
}

// options holds the flags of a command line.
type options struct {
	platform string
	node     string
	author   string
	firm     string
	output   Output
	last     int
	// logs is the path of a folder with the logs of nodes, or of one log file.
	logs string
}

// invocation is one parsed command line.
type invocation struct {
	*Commander
	options
	args []string
}

// command is an entry in the table of commands.
type command struct {
	name string
	// argumentCount is the number of arguments besides the flags.
	argumentCount int
	usage         string
	run           func(ctx context.Context, c invocation) error
}

func commands() []command {
	return []command{
		{"ticket file", 1, "FILE  files a ticket from a YAML file, or from \"-\"; needs --author", fileTicket},
		{"ticket plan", 1, "FILE  shows what a ticket would do, and files nothing", planTicket},
		{"ticket approve", 1, "N     approves ticket N and decides it; needs --author", approveTicket},
		{"ticket withdraw", 1, "N     withdraws ticket N, unless it is approved; needs --author", withdrawTicket},
		{"ticket settle", 1, "N     finishes the decision on ticket N after an interruption", settleTicket},
		{"ticket show", 1, "N     shows ticket N, and on how many nodes it is in force", showTicket},
		{"ticket list", 0, "      lists the latest tickets; --last sets how many", listTickets},
		{"ticket trim", 0, "      deletes configuration that no recent version uses", trimShards},
		{"key digest", 0, "      reads an access key from the standard input and prints its digest, for a ticket", digestKey},
		{"nodes", 0, "      lists the nodes that the node at --node knows", showNodes},
		{"targets", 0, "      lists the targets that the node at --node knows", showTargets},
		{"config", 0, "      shows the configuration in force on the node at --node", showConfig},
		{"trace", 1, "ID    shows the lines on a request in the nodes' logs at --logs, and other events of these nodes at the time", traceRequest},
	}
}

// Run executes a command line and returns the exit code.
func (c *Commander) Run(ctx context.Context, args []string) int {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	output, err := c.run(ctx, args)
	if err != nil {
		c.printError(output, err)
	}
	return exitCode(err)
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error    string `json:"error"`
	Advice   string `json:"advice,omitempty"`
	ExitCode int    `json:"exit-code"`
}

func (c *Commander) printError(output Output, err error) {
	if output == OutputJSON {
		_ = json.NewEncoder(c.Err).Encode(errorOutput{Error: err.Error(), Advice: adviceFor(err), ExitCode: exitCode(err)})
		return
	}
	fmt.Fprintln(c.Err, "gentianctl:", err)
	if text := adviceFor(err); text != "" {
		fmt.Fprintln(c.Err, "advice:", text)
	}
}

func (c *Commander) printUsage() {
	fmt.Fprintln(c.Out, "usage: gentianctl COMMAND [flags] [argument]")
	for _, cmd := range commands() {
		fmt.Fprintf(c.Out, "  %-16s %s\n", cmd.name, cmd.usage)
	}
	fmt.Fprintln(c.Out, "flags: --platform URL, --node IP:PORT, --author NAME, --firm NAME, --output text|json, --last N, --logs PATH")
	fmt.Fprintln(c.Out, "exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 unreachable, 5 unknown outcome")
}

func (c *Commander) run(ctx context.Context, args []string) (Output, error) {
	if len(args) == 1 && (args[0] == "help" || args[0] == "--help" || args[0] == "-h") {
		c.printUsage()
		return OutputText, nil
	}
	for _, cmd := range commands() {
		words := strings.Fields(cmd.name)
		if len(args) < len(words) || strings.Join(args[:len(words)], " ") != cmd.name {
			continue
		}
		parsed, err := c.parse(args[len(words):])
		if err != nil {
			return parsed.output, err
		}
		if len(parsed.args) != cmd.argumentCount {
			return parsed.output, &UsageError{Message: fmt.Sprintf("%s takes %d argument(s), not %d", cmd.name, cmd.argumentCount, len(parsed.args))}
		}
		return parsed.output, cmd.run(ctx, parsed)
	}
	return OutputText, &UsageError{Message: "unknown command"}
}

// parse parses a command's flags and arguments. Flags may come before, between and
// after the arguments.
func (c *Commander) parse(args []string) (invocation, error) {
	parsed := invocation{Commander: c}
	fs := flag.NewFlagSet("gentianctl", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.StringVar(&parsed.platform, "platform", "http://127.0.0.1:7000", "URL of the platform's object API")
	fs.StringVar(&parsed.node, "node", "", "admin address of a node, as ip:port")
	fs.StringVar(&parsed.author, "author", "", "operator who files, approves or withdraws the ticket")
	fs.StringVar(&parsed.firm, "firm", "", "firm on whose behalf a ticket is filed")
	fs.StringVar((*string)(&parsed.output), "output", string(OutputText), "text or json")
	fs.StringVar(&parsed.logs, "logs", "", "folder with logs of nodes, or one log file; JSON lines")
	fs.IntVar(&parsed.last, "last", 20, "maximum number of tickets to list")
	for {
		if err := fs.Parse(args); err != nil {
			return parsed, &UsageError{Message: err.Error()}
		}
		if fs.NArg() == 0 {
			break
		}
		parsed.args = append(parsed.args, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if parsed.output != OutputText && parsed.output != OutputJSON {
		return parsed, &UsageError{Message: fmt.Sprintf("output must be text or json, not %q", parsed.output)}
	}
	return parsed, nil
}

// print writes a value as JSON, or as text with the given function.
func (c invocation) print(value any, text func(w io.Writer)) error {
	if c.output == OutputText {
		text(c.Out)
		return nil
	}
	encoder := json.NewEncoder(c.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
