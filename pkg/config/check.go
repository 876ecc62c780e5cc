package config

import (
	"fmt"
	"math/bits"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"almondrock.example/almondrock/pkg/internal/names"
	"almondrock.example/almondrock/pkg/internal/nearest"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// checker checks a merged configuration for mistakes that can't be found in a single field, such as references to
// unknown regions.
type checker struct {
	configuration *schemav1.Configuration
	positions     positionIndex
	problems      *report
	// regions holds the names of the configured regions.
	regions map[string]bool
}

// check adds all mistakes of a merged configuration to problems. If positions is empty, problems have no file and line.
func check(configuration *schemav1.Configuration, positions positionIndex, problems *report) {
	c := &checker{configuration: configuration, positions: positions, problems: problems, regions: map[string]bool{}}
	for _, region := range configuration.GetRegions() {
		c.regions[region.GetName()] = true
	}
	c.checkRegions()
	c.checkDataCentres()
	c.checkTenants()
	c.checkClasses()
	c.checkServices()
	c.checkAllow()
	c.checkCommonRegions()
}

func (c *checker) add(path, rule, suggestion, format string, args ...any) {
	c.problems.add(c.positions.closest(path), rule, suggestion, format, args...)
}

// isSet reports whether the files set the field, even to an invalid value that has already been reported.
func (c *checker) isSet(path string) bool {
	_, ok := c.positions[path]
	return ok
}

// checkRequired reports a missing field, unless it is set to an invalid value, which has already been reported.
func (c *checker) checkRequired(isEmpty bool, path, suggestion string) {
	if isEmpty && !c.isSet(path) {
		c.add(path, RuleMissing, suggestion, "%s is missing", path)
	}
}

// checkRequiredList reports a list that is missing or empty.
func (c *checker) checkRequiredList(length int, path, suggestion string) {
	if length == 0 {
		c.checkRequired(true, path, suggestion)
		if c.isSet(path) && !c.positions[path].invalid {
			c.add(path, RuleMissing, suggestion, "%s is empty", path)
		}
	}
}

// checkNames checks that the name fields of the elements of list are present, valid and unique.
func (c *checker) checkNames(list string, values []string) {
	first := map[string]int{}
	for i, name := range values {
		path := fmt.Sprintf("%s[%d].name", list, i)
		c.checkRequired(name == "", path, "write name: NAME")
		if name == "" {
			c.reportEmptyName(path)
			continue
		}
		if !names.Valid(name) {
			c.add(path, RuleBadName, "use "+names.Rule, "%s can't be %s", path, quote(name))
		}
		if earlier, twice := first[name]; twice {
			c.reportDuplicate(path, fmt.Sprintf("%s[%d].name", list, earlier), name)
			continue
		}
		first[name] = i
	}
}

func (c *checker) reportEmptyName(path string) {
	if c.isSet(path) && !c.positions[path].invalid {
		c.add(path, RuleBadName, "use "+names.Rule, "%s can't be empty", path)
	}
}

func (c *checker) reportDuplicate(path, firstPath, name string) {
	c.add(path, RuleDuplicateName, "use another name or remove one of them",
		"%s repeats %s of line %d", path, quote(name), c.positions.closest(firstPath).line)
}

func (c *checker) checkRegions() {
	c.checkRequiredList(len(c.configuration.GetRegions()), "regions", "list at least one region")
	c.checkNames("regions", namesOf(c.configuration.GetRegions()))
}

func (c *checker) checkDataCentres() {
	c.checkRequiredList(len(c.configuration.GetDataCentres()), "data_centres", "list at least one data centre")
	c.checkNames("data_centres", namesOf(c.configuration.GetDataCentres()))
	used, allRegionsKnown := map[string]bool{}, true
	for i, dataCentre := range c.configuration.GetDataCentres() {
		path := fmt.Sprintf("data_centres[%d]", i)
		c.checkRequired(dataCentre.GetRegion() == "", path+".region", "write region: NAME")
		if dataCentre.GetRegion() != "" || (c.isSet(path+".region") && !c.positions[path+".region"].invalid) {
			c.checkRegion(dataCentre.GetRegion(), path+".region")
		}
		used[dataCentre.GetRegion()] = true
		allRegionsKnown = allRegionsKnown && c.regions[dataCentre.GetRegion()]
		c.checkLimitFields(dataCentre.GetLimits(), path+".limits", dataCentreLimits)
	}
	for i, region := range c.configuration.GetRegions() {
		if allRegionsKnown && region.GetName() != "" && !used[region.GetName()] {
			c.add(fmt.Sprintf("regions[%d].name", i), RuleEmptyRegion, "add a data centre to the region or remove the region",
				"region %s has no data centre", quote(region.GetName()))
		}
	}
}

func (c *checker) checkRegion(name, path string) {
	if !c.regions[name] {
		c.add(path, RuleUnknownRegion, suggestName(name, namesOf(c.configuration.GetRegions())), "%s names the unknown region %s", path, quote(name))
	}
}

func (c *checker) checkHomeRegions(names []string, path string) {
	seen := map[string]bool{}
	for i, name := range names {
		item := fmt.Sprintf("%s[%d]", path, i)
		c.checkRegion(name, item)
		if seen[name] {
			c.add(item, RuleDuplicateName, "remove it", "%s repeats %s", item, quote(name))
		}
		seen[name] = true
	}
	if len(names) == 0 && c.isSet(path) && !c.positions[path].invalid {
		c.add(path, RuleMissing, "leave the field out to allow all regions", "%s is empty", path)
	}
}

func (c *checker) checkTenants() {
	for i, tenant := range c.configuration.GetTenants() {
		c.checkHomeRegions(tenant.GetHomeRegions(), fmt.Sprintf("tenants[%d].home_regions", i))
	}
	c.checkNames("tenants", namesOf(c.configuration.GetTenants()))
}

func (c *checker) checkClasses() {
	first := map[schemav1.RequestClass]int{}
	for i, class := range c.configuration.GetClasses() {
		path := fmt.Sprintf("classes[%d].name", i)
		name := class.GetName()
		c.checkRequired(name == schemav1.RequestClass_REQUEST_CLASS_UNSPECIFIED, path, "write name: interactive, booking or file")
		if earlier, twice := first[name]; twice && name != schemav1.RequestClass_REQUEST_CLASS_UNSPECIFIED {
			c.reportDuplicate(path, fmt.Sprintf("classes[%d].name", earlier), ClassName(name))
			continue
		}
		first[name] = i
	}
}

// ClassName returns the name of a class in the files, such as booking, or "" for an unknown class.
func ClassName(class schemav1.RequestClass) string {
	words := enumWords(class.Descriptor())
	if class < 1 || int(class) > len(words) {
		return ""
	}
	return words[class-1]
}

func (c *checker) checkAllow() {
	for i, name := range c.configuration.GetAllow() {
		path := fmt.Sprintf("allow[%d]", i)
		if _, known := allowableDangers[Danger(name)]; !known {
			c.add(path, RuleUnknownAllow, suggestName(name, allowableNames()), "%s is not a danger that can be allowed", quote(name))
		}
	}
}

// checkLimitFields reports limits that are set but not in allowed, because they would have no effect there.
func (c *checker) checkLimitFields(limits *schemav1.Limits, path string, allowed map[protoreflect.Name]bool) {
	if limits == nil {
		return
	}
	fields := limits.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		name := fields.Get(i).Name()
		field := path + "." + string(name)
		if allowed[name] || (!c.isSet(field) && !limits.ProtoReflect().Has(fields.Get(i))) {
			continue
		}
		rule, where := RuleMisplacedField, "here"
		if at := c.positions.closest(field); at.fileIndex > 0 {
			rule, where = RuleNotInOverlay, "by a site"
		}
		c.add(field, rule, "set it in limits of the base file", "%s can't be set %s", name, where)
	}
}

func isPowerOfTwo(n uint32) bool { return bits.OnesCount32(n) == 1 }

func namesOf[T named](list []T) []string {
	found := make([]string, len(list))
	for i, element := range list {
		found[i] = element.GetName()
	}
	return found
}

// suggestName suggests the known name that is most similar to name, or lists the known names if none is similar.
func suggestName(name string, known []string) string {
	if near := nearest.Name(name, known); near != "" {
		return "did you mean " + near + "?"
	}
	const maxListed = 8
	if len(known) == 0 {
		return ""
	}
	if len(known) > maxListed {
		return fmt.Sprintf("there are %d, among them %s", len(known), strings.Join(known[:maxListed], ", "))
	}
	return "known are " + strings.Join(known, ", ")
}
