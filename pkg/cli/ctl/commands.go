package ctl

import (
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func (inv *invocation) checkCommand() *cobra.Command {
	var files fileFlags
	command := &cobra.Command{
		Use: "check --base FILE [--overlay FILE]...", Short: "Check the operators' files on this machine", Args: cobra.NoArgs,
		Long: "check decodes, merges and checks the files without a connection.\n" +
			"It writes all problems to standard error as file:line:column: reason.",
	}
	command.RunE = func(*cobra.Command, []string) error {
		_, configuration, err := files.readSubmission()
		if err != nil {
			return err
		}
		return inv.printMessage(configuration, fmt.Sprintf("the files are valid: %d services, %d data centres, %d tenants",
			len(configuration.GetServices()), len(configuration.GetDataCentres()), len(configuration.GetTenants())))
	}
	files.register(command)
	return command
}

func (inv *invocation) planCommand() *cobra.Command {
	var files fileFlags
	command := &cobra.Command{
		Use: "plan --base FILE [--overlay FILE]...", Short: "Show what the files would change", Args: cobra.NoArgs,
		Long: "plan checks the files and shows what would change in the deployment, without changing it.",
	}
	command.RunE = func(command *cobra.Command, _ []string) error {
		submission, _, err := files.readSubmission()
		if err != nil {
			return err
		}
		submission.Operator = inv.settings.GetOperator()
		ctx, cancel, api, err := inv.connectAPI(command)
		if err != nil {
			return err
		}
		defer cancel()
		plan, err := api.Plan(ctx, submission)
		if err != nil {
			return err
		}
		if err := inv.printMessage(plan, formatPlan(plan)); err != nil {
			return err
		}
		if len(plan.GetProblems()) > 0 {
			return merry.Wrap(newRefusedError(plan.GetProblems()))
		}
		return nil
	}
	files.register(command)
	return command
}

func (inv *invocation) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the state of the deployment", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel, api, err := inv.connectAPI(command)
			if err != nil {
				return err
			}
			defer cancel()
			status, err := api.Status(ctx)
			if err != nil {
				return err
			}
			return inv.printObject(status)
		},
	}
}

func (inv *invocation) explainCommand() *cobra.Command {
	var service, tenant string
	command := &cobra.Command{
		Use: "explain KEY --service SERVICE [--tenant TENANT]", Short: "Show who owns a key and why", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, cancel, api, err := inv.connectAPI(command)
			if err != nil {
				return err
			}
			defer cancel()
			explanation, err := api.Explain(ctx, service, tenant, args[0])
			if err != nil {
				return err
			}
			return inv.printObject(explanation)
		},
	}
	command.Flags().StringVar(&service, "service", "", "service of the key")
	command.Flags().StringVar(&tenant, "tenant", "", "tenant of the key; the default tenant when left out")
	// This fails only for a flag that does not exist.
	_ = command.MarkFlagRequired("service")
	return command
}

// versionInfo is the output of the command version in JSON.
type versionInfo struct {
	Version string `json:"version"`
	Commit  string `json:"commit,omitempty"`
	Go      string `json:"go"`
}

func (inv *invocation) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Show the version of almondctl", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			info := readVersion()
			if !inv.isJSON() {
				return inv.print("almondctl " + info.Version + " " + info.Commit + " " + info.Go)
			}
			encoded, err := json.Marshal(info)
			if err != nil {
				return merry.Wrap(&OutputError{Err: err})
			}
			return inv.printJSON(encoded)
		},
	}
}

func readVersion() versionInfo {
	info := versionInfo{Version: "unknown"}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	info.Version, info.Go = build.Main.Version, build.GoVersion
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			info.Commit = setting.Value
		}
	}
	return info
}

// formatPlan returns the text form of a plan.
func formatPlan(plan *schemav1.Plan) string {
	w := &textWriter{}
	w.section("changes", len(plan.GetChanges()))
	w.changes(plan.GetChanges())
	w.keyspaces(plan)
	for _, dataCentre := range plan.GetDataCentres() {
		w.line("data centre %s (%s): %s -> %s, shards %d -> %d%s", dataCentre.GetName(), dataCentre.GetRegion(),
			formatServiceState(dataCentre.GetInServiceBefore()), formatServiceState(dataCentre.GetInServiceAfter()),
			dataCentre.GetShardsBefore(), dataCentre.GetShardsAfter(), formatSlots(dataCentre.GetSlots()))
	}
	for _, region := range plan.GetRegions() {
		w.line("region %s: data centres in service %d -> %d, slots %d -> %d", region.GetName(),
			region.GetDataCentresBefore(), region.GetDataCentresAfter(), region.GetSlotsBefore(), region.GetSlotsAfter())
	}
	if plan.GetEstimated() {
		w.line("The delegations in force are not known for all keyspaces; an even spread is assumed.")
	}
	return w.String()
}
