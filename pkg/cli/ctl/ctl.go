// Package ctl implements almondctl, the command line tool for operators. It checks the operators' files locally, plans and
// submits them, and shows the status of the deployment and the owners of keys, through the administration API of any host.
package ctl

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"almondrock.example/almondrock/pkg/loadgen"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/settings"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitRefused means that the files, a change or a request were refused; nothing has changed.
	ExitRefused = 1
	// ExitUsage means that arguments or settings are wrong or files can't be read; nothing was sent.
	ExitUsage = 2
	// ExitUnreachable means that there was no usable response, or that it can't be written. The outcome of a submission is
	// then unknown.
	ExitUnreachable = 3
)

// Options are the parts of the environment that almondctl depends on. All except Out and Err have defaults.
type Options struct {
	// Out and Err are standard output and standard error.
	Out, Err io.Writer
	// Environ lists the environment variables, in the form of os.Environ.
	Environ []string
	// Connect returns the API at an address, in plain text if config is nil; NewClient by default.
	Connect func(address string, config *tls.Config) API
	// Sleep waits between retries. It returns early with an error when the context is done.
	Sleep func(ctx context.Context, duration time.Duration) error
	// Now is the time recorded with a submission.
	Now func() time.Time
	// NewID returns a new submission id.
	NewID func() string
}

func (o Options) withDefaults() Options {
	if o.Connect == nil {
		o.Connect = func(address string, config *tls.Config) API { return NewClient(address, config) }
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = newID
	}
	return o
}

// Run executes almondctl with the given arguments, without the program's name, and returns the exit code.
func Run(ctx context.Context, args []string, options Options) int {
	inv := &invocation{Options: options.withDefaults(), settings: &schemav1.CtlSettings{}}
	root := inv.command()
	root.SetArgs(args)
	root.SetOut(options.Out)
	root.SetErr(options.Err)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	code, text := exitStatus(err)
	// A failure to write to standard error can't be reported anywhere.
	_, _ = fmt.Fprintln(options.Err, text)
	return code
}

// exitStatus returns the exit code and the text for standard error. Any error without a type below, such as those of cobra,
// is treated as a wrong argument.
func exitStatus(err error) (int, string) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return ExitRefused, refused.Error()
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return ExitUnreachable, "almondctl: " + unreachable.Error()
	}
	var output *OutputError
	if errors.As(err, &output) {
		return ExitUnreachable, "almondctl: " + output.Error()
	}
	var invalid *settings.ValidationError
	if errors.As(err, &invalid) {
		return ExitUsage, invalid.Error()
	}
	return ExitUsage, "almondctl: " + err.Error() + "\nRun 'almondctl --help' for usage."
}

// invocation is one run of almondctl with its settings.
type invocation struct {
	Options
	settings *schemav1.CtlSettings
	timeout  time.Duration
}

const longHelp = `almondctl checks the operators' files, and plans, submits and explains them.

Exit codes:
  0  done
  1  refused: the files, the change or the request; nothing has changed
  2  wrong arguments, settings, or files that can't be read; nothing was sent
  3  unreachable: no usable answer, or it can't be written; send a submission again with the same --id

Each flag with a variable in brackets can be set by that variable; the flag wins.`

func (inv *invocation) command() *cobra.Command {
	root := &cobra.Command{
		Use: "almondctl", Short: "Check, plan and submit the operators' files", Long: longHelp,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		PersistentPreRunE: inv.readSettings,
		// Without RunE, cobra would print the help text and succeed for an unknown command.
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	settings.Register(root.PersistentFlags(), inv.settings)
	// This fails only for a flag that does not exist.
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(inv.checkCommand(), inv.planCommand(), inv.submitCommand(), inv.statusCommand(), inv.explainCommand(),
		loadgen.Command(), inv.versionCommand())
	return root
}

func (inv *invocation) readSettings(command *cobra.Command, _ []string) error {
	if isCompletion(command) {
		return nil
	}
	if err := settings.Read(command.Flags(), inv.Environ, inv.settings); err != nil {
		return err
	}
	// The duration can't be invalid, since settings.Read has checked its format.
	inv.timeout, _ = time.ParseDuration(inv.settings.GetTimeout())
	return nil
}

// isCompletion reports whether a command is one of cobra's own, such as help and completion. They must work even with invalid
// settings.
func isCompletion(command *cobra.Command) bool {
	for ; command != nil; command = command.Parent() {
		if command.Name() == "completion" || command.Name() == "help" || strings.HasPrefix(command.Name(), cobra.ShellCompRequestCmd) {
			return true
		}
	}
	return false
}

func (inv *invocation) isJSON() bool { return inv.settings.GetOutput() == "json" }

// connectAPI returns the API with a context whose timeout limits all calls of a command together. It fails with the errors of
// tlsconfig.Open.
func (inv *invocation) connectAPI(command *cobra.Command) (context.Context, context.CancelFunc, API, error) {
	source, err := tlsconfig.Open(tlsconfig.Files{
		Certificate: inv.settings.GetCertificate(), Key: inv.settings.GetKey(), Authorities: inv.settings.GetAuthorities(),
	}, inv.settings.GetInsecure())
	if err != nil {
		return nil, nil, nil, err
	}
	var config *tls.Config
	if source != nil {
		config = source.ClientConfig(tlsconfig.AnyHost)
	}
	ctx, cancel := context.WithTimeout(command.Context(), inv.timeout)
	return ctx, cancel, inv.Connect(inv.settings.GetAddress(), config), nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
