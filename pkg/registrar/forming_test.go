package registrar

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("Group counts as formed when the voters that are left after a loss are a majority",
	func(voters, faultTolerance int, formed bool) {
		Expect(isFormed(voters, faultTolerance, formingTimeout)).To(Equal(formed))
		Expect(isFormed(voters, faultTolerance, formingTimeout+1)).To(BeTrue(), "a deployment with fewer hosts stays usable")
	},
	Entry(nil, 1, 0, true),
	Entry(nil, 2, 1, false),
	Entry(nil, 3, 1, true),
	Entry(nil, 3, 2, false),
	Entry(nil, 4, 2, false),
	Entry(nil, 5, 2, true),
)
