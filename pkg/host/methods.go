package host

// Names of the RPC methods between hosts.
const (
	methodJoin      = "Control.Join"
	methodPoll      = "Control.Poll"
	methodSubmit    = "Control.Submit"
	methodBootstrap = "Control.Bootstrap"
	methodAddMember = "Control.AddMember"
	methodRenew     = "Group.Renew"
	methodPropose   = "Group.Propose"
	methodAnnounce  = "Group.Announce"
	methodSeal      = "Group.Seal"
	methodExplain   = "Group.Explain"
	methodStatus    = "Host.Status"
)

// controlGroup is the group name of the control group in Raft batches.
const controlGroup = "control"
