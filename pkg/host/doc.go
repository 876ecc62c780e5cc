// Package host runs one almondrock process: the member of the data centre group, the member of the control group on hosts
// with a disk, the attached targets, the data path and the administration API.
package host
