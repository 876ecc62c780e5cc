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
	// attemptTimeout limits one attempt, so that there is time for retries if a host does not respond.
	attemptTimeout    = 3 * time.Second
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// newID returns an id of 128 random bits, so that two operators never use the same one by accident.
func newID() string {
	var id [16]byte
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// submitFlags are the values of the flags of the command submit.
type submitFlags struct {
	files   fileFlags
	id      string
	basedOn uint64
}

func (inv *invocation) submitCommand() *cobra.Command {
	var flags submitFlags
	command := &cobra.Command{
		Use: "submit --base FILE [--overlay FILE]...", Short: "Submit the files as the next revision", Args: cobra.NoArgs,
		Long: "submit checks the files and submits them as the next revision. If an answer is lost, it sends the same\n" +
			"submission again: the first answer to an id is the only one. Of concurrent submissions based on one revision,\n" +
			"one wins; submit then shows who won and how the revision in force differs from the files.",
	}
	command.RunE = func(command *cobra.Command, _ []string) error {
		return inv.submit(command, &flags, command.Flags().Changed("based-on"))
	}
	flags.files.register(command)
	command.Flags().StringVar(&flags.id, "id", "", "submission id; give that of an earlier run to learn its outcome (default drawn at random)")
	command.Flags().Uint64Var(&flags.basedOn, "based-on", 0, "revision that the files are based on (default the one in force)")
	return command
}

// submit reads, checks and submits the files, and prints the outcome. basedOnSet tells whether the flag --based-on was given;
// if not, the files are based on the revision in force.
func (inv *invocation) submit(command *cobra.Command, flags *submitFlags, basedOnSet bool) error {
	submission, configuration, err := flags.files.readSubmission()
	if err != nil {
		return err
	}
	ctx, cancel, api, err := inv.connectAPI(command)
	if err != nil {
		return err
	}
	defer cancel()
	submission.BasedOn = flags.basedOn
	if !basedOnSet {
		inForce, err := api.Configuration(ctx)
		if err != nil {
			return err
		}
		submission.BasedOn = inForce.GetRevision()
	}
	submission.Id, submission.Operator = flags.id, inv.settings.GetOperator()
	if submission.Id == "" {
		submission.Id = inv.NewID()
	}
	submission.SubmittedUnixMs = inv.Now().UnixMilli()
	outcome, err := inv.submitWithRetry(ctx, api, submission, flags.id != "")
	if err != nil {
		return err
	}
	return inv.printOutcome(ctx, api, submission, configuration, outcome)
}

// submitWithRetry sends a submission and retries it until there is a response or ctx is done. A refusal without an outcome
// ends the retries too. It is final only for the first attempt: it says nothing about earlier attempts, which may have taken
// effect, so after them the outcome is unknown. sentBefore tells whether an earlier run may have sent the submission.
func (inv *invocation) submitWithRetry(ctx context.Context, api API, submission *schemav1.Submission, sentBefore bool) (*schemav1.SubmissionOutcome, error) {
	delay := initialRetryDelay
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		outcome, err := api.Submit(attempt, submission)
		cancel()
		var unreachable *UnreachableError
		var refused *RefusedError
		switch {
		case errors.As(err, &unreachable):
		case errors.As(err, &refused) && sentBefore:
			return nil, inv.unknownOutcomeError(submission, refused.Error())
		default:
			return outcome, err
		}
		if inv.Sleep(ctx, delay) != nil {
			return nil, inv.unknownOutcomeError(submission, unreachable.Reason)
		}
		delay, sentBefore = min(2*delay, maxRetryDelay), true
	}
}

func (inv *invocation) unknownOutcomeError(submission *schemav1.Submission, reason string) error {
	return merry.Wrap(&UnreachableError{Address: inv.settings.GetAddress(), Reason: reason, SubmissionID: submission.GetId(), BasedOn: submission.GetBasedOn()})
}

// printOutcome prints the outcome of a submission. It fails with RefusedError for a conflict or refusal.
func (inv *invocation) printOutcome(ctx context.Context, api API, submission *schemav1.Submission, configuration *schemav1.Configuration, outcome *schemav1.SubmissionOutcome) error {
	switch outcome.GetVerdict() {
	case schemav1.SubmissionOutcome_VERDICT_ACCEPTED:
		return inv.printMessage(outcome, fmt.Sprintf("accepted as revision %d (submission %s)", outcome.GetRevision(), outcome.GetId()))
	case schemav1.SubmissionOutcome_VERDICT_CONFLICT:
		text := inv.formatConflict(ctx, api, configuration, outcome)
		if err := inv.printMessage(outcome, text); err != nil {
			return err
		}
		return merry.Wrap(&RefusedError{Reasons: []string{fmt.Sprintf(
			"conflict: the files are based on revision %d, but revision %d is in force", submission.GetBasedOn(), outcome.GetRevision())}})
	default:
		if err := inv.printMessage(outcome, fmt.Sprintf("refused; revision %d stays in force", outcome.GetRevision())); err != nil {
			return err
		}
		return merry.Wrap(newRefusedError(outcome.GetProblems()))
	}
}

// formatConflict returns a text that names the operator whose submission won, and the differences between the revision in
// force and the files, if that revision can be read.
func (inv *invocation) formatConflict(ctx context.Context, api API, configuration *schemav1.Configuration, outcome *schemav1.SubmissionOutcome) string {
	w := &textWriter{}
	// The name and the id come from another operator. Quoting keeps control characters away from the terminal.
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
