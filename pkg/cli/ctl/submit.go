package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// attemptTimeout bounds one attempt, so that a host that hangs leaves time for resends.
	attemptTimeout = 3 * time.Second
	firstPause     = 100 * time.Millisecond
	longestPause   = 2 * time.Second
)

// newID draws an id of 128 random bits, so that two operators never share one by accident.
func newID() string {
	var id [16]byte
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// submitFlags are the flags of submit.
type submitFlags struct {
	sources files
	id      string
	basedOn uint64
}

func (t *tool) submitCommand() *cobra.Command {
	var flags submitFlags
	command := &cobra.Command{
		Use: "submit --base FILE [--overlay FILE]...", Short: "Submit the files as the next revision", Args: cobra.NoArgs,
		Long: "submit checks the files and submits them as the next revision. If an answer is lost, it sends the same\n" +
			"submission again: the first answer to an id is the only one. Of concurrent submissions based on one revision,\n" +
			"one wins; submit then shows who won and how the revision in force differs from the files.",
	}
	command.RunE = func(command *cobra.Command, _ []string) error {
		return t.submit(command, &flags, command.Flags().Changed("based-on"))
	}
	flags.sources.register(command)
	command.Flags().StringVar(&flags.id, "id", "", "submission id; give that of an earlier run to learn its outcome (default drawn at random)")
	command.Flags().Uint64Var(&flags.basedOn, "based-on", 0, "revision that the files are based on (default the one in force)")
	return command
}

func (t *tool) submit(command *cobra.Command, flags *submitFlags, hasRevision bool) error {
	submission, configuration, err := flags.sources.submission()
	if err != nil {
		return err
	}
	ctx, cancel, api, err := t.call(command)
	if err != nil {
		return err
	}
	defer cancel()
	submission.BasedOn = flags.basedOn
	if !hasRevision {
		inForce, err := api.Configuration(ctx)
		if err != nil {
			return err
		}
		submission.BasedOn = inForce.GetRevision()
	}
	submission.Id, submission.Operator = flags.id, t.settings.GetOperator()
	if submission.Id == "" {
		submission.Id = t.NewID()
	}
	submission.SubmittedUnixMs = t.Now().UnixMilli()
	outcome, err := t.submitUntilAnswered(ctx, api, submission, flags.id != "")
	if err != nil {
		return err
	}
	return t.report(ctx, api, submission, configuration, outcome)
}

// submitUntilAnswered resends the same submission until an answer comes or the time is over. A refusal without an
// outcome is an answer too, unless the submission was sent before: it says nothing about earlier attempts, which may have
// taken effect.
func (t *tool) submitUntilAnswered(ctx context.Context, api API, submission *schemav1.Submission, sentBefore bool) (*schemav1.SubmissionOutcome, error) {
	pause := firstPause
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		outcome, err := api.Submit(attempt, submission)
		cancel()
		var unreachable *UnreachableError
		var refused *RefusedError
		switch {
		case errors.As(err, &unreachable):
		case errors.As(err, &refused) && sentBefore:
			return nil, t.unknownOutcome(submission, refused.Error())
		default:
			return outcome, err
		}
		if t.Sleep(ctx, pause) != nil {
			return nil, t.unknownOutcome(submission, unreachable.Reason)
		}
		pause, sentBefore = min(2*pause, longestPause), true
	}
}

func (t *tool) unknownOutcome(submission *schemav1.Submission, reason string) error {
	return merry.Wrap(&UnreachableError{Address: t.settings.GetAddress(), Reason: reason, SubmissionID: submission.GetId(), BasedOn: submission.GetBasedOn()})
}

// report prints the outcome; a conflict or refusal is an error.
func (t *tool) report(ctx context.Context, api API, submission *schemav1.Submission, configuration *schemav1.Configuration, outcome *schemav1.SubmissionOutcome) error {
	switch outcome.GetVerdict() {
	case schemav1.SubmissionOutcome_VERDICT_ACCEPTED:
		return t.printMessage(outcome, fmt.Sprintf("accepted as revision %d (submission %s)", outcome.GetRevision(), outcome.GetId()))
	case schemav1.SubmissionOutcome_VERDICT_CONFLICT:
		text := t.conflictText(ctx, api, configuration, outcome)
		if err := t.printMessage(outcome, text); err != nil {
			return err
		}
		return merry.Wrap(&RefusedError{Reasons: []string{fmt.Sprintf(
			"conflict: the files are based on revision %d, but revision %d is in force", submission.GetBasedOn(), outcome.GetRevision())}})
	default:
		if err := t.printMessage(outcome, fmt.Sprintf("refused; revision %d stays in force", outcome.GetRevision())); err != nil {
			return err
		}
		return merry.Wrap(refusedFor(outcome.GetProblems()))
	}
}

// conflictText tells who won, and the difference if the revision in force can be read.
func (t *tool) conflictText(ctx context.Context, api API, configuration *schemav1.Configuration, outcome *schemav1.SubmissionOutcome) string {
	w := &textWriter{}
	// Both were chosen by somebody else; quotes keep control characters from the terminal.
	winner := strconv.Quote(outcome.GetWinnerOperator())
	if outcome.GetWinnerOperator() == "" {
		winner = "an operator without a name"
	}
	w.line("revision %d was won by %s (submission %q)", outcome.GetRevision(), winner, outcome.GetWinnerId())
	inForce, err := api.Configuration(ctx)
	if err != nil {
		w.line("the difference is not known: %s", strings.ReplaceAll(err.Error(), "\n", " "))
		return w.String()
	}
	changes := config.Diff(inForce, configuration)
	if len(changes) == 0 {
		w.line("the files say the same as revision %d", inForce.GetRevision())
		return w.String()
	}
	w.line("your files would change revision %d as follows:", inForce.GetRevision())
	w.changes(changes)
	return w.String()
}
