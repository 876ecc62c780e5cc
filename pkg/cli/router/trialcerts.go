package router

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"almondrock.example/almondrock/pkg/tlsconfig"
)

func trialCertsCommand() *cobra.Command {
	var dir string
	var hosts, operators []string
	command := &cobra.Command{
		Use:   "trial-certs --folder FOLDER --hosts DATA_CENTRE/NAME,... --operators NAME,...",
		Short: "Make a throwaway authority and certificates for trying out",
		Long: "trial-certs writes authorities.pem, and a certificate and a key per identity, valid for 7 days.\n" +
			"The key of the authority is not kept, so a later run makes another authority.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			identities, err := trialIdentities(hosts, operators)
			if err != nil {
				return err
			}
			filesByIdentity, err := tlsconfig.WriteTrialCertificates(dir, identities, time.Now())
			if err != nil {
				return err
			}
			for _, identity := range identities {
				files := filesByIdentity[identity]
				fmt.Fprintf(command.OutOrStdout(), "%s: --tls-certificate %s --tls-key %s --tls-authorities %s\n",
					identity, files.Certificate, files.Key, files.Authorities)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&dir, "folder", "", "folder for the files; made when missing")
	flags.StringSliceVar(&hosts, "hosts", nil, "hosts as DATA_CENTRE/NAME")
	flags.StringSliceVar(&operators, "operators", nil, "names of operators")
	// The error is about a flag that does not exist.
	_ = command.MarkFlagRequired("folder")
	return command
}

// trialIdentities parses the values of the flags --hosts and --operators. It fails with *tlsconfig.IdentityError.
func trialIdentities(hosts, operators []string) ([]tlsconfig.Identity, error) {
	var identities []tlsconfig.Identity
	for _, host := range hosts {
		dataCentre, name, _ := strings.Cut(host, "/")
		if dataCentre == "" || name == "" {
			return nil, &tlsconfig.IdentityError{RejectedIdentity: host, Reason: "must be DATA_CENTRE/NAME"}
		}
		identities = append(identities, tlsconfig.Identity{DataCentre: dataCentre, Name: name})
	}
	for _, operator := range operators {
		identities = append(identities, tlsconfig.Identity{Name: operator})
	}
	return identities, nil
}
