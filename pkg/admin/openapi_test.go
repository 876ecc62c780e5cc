package admin_test

import (
	"os"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/reflect/protoreflect"

	"almondrock.example/almondrock/pkg/admin"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

type operation struct {
	Summary     string         `yaml:"summary"`
	RequestBody map[string]any `yaml:"requestBody"`
	Responses   map[string]any `yaml:"responses"`
}

type page struct {
	Paths      map[string]map[string]operation `yaml:"paths"`
	Components struct {
		Schemas map[string]struct {
			Properties map[string]any `yaml:"properties"`
		} `yaml:"schemas"`
	} `yaml:"components"`
}

func readPage() page {
	content, err := os.ReadFile("../../docs/openapi.yaml")
	Expect(err).NotTo(HaveOccurred())
	var read page
	Expect(yaml.Unmarshal(content, &read)).To(Succeed())
	return read
}

// The page is written by hand; these checks fail when it and the code differ.
var _ = Describe("docs/openapi.yaml", func() {
	It("names the registered routes and no others", func() {
		var described, registered []string
		for path, operations := range readPage().Paths {
			for method, operation := range operations {
				described = append(described, strings.ToUpper(method)+" "+path)
				Expect(operation.Summary).NotTo(BeEmpty(), path)
				Expect(operation.Responses).NotTo(BeEmpty(), path)
				Expect(operation.RequestBody != nil).To(Equal(method == "post"), path)
			}
		}
		parameter := regexp.MustCompile(`:([a-z]+)`)
		for _, route := range admin.NewHandler(newBackend(), metrics, admin.AccessPolicy{}).(*echo.Echo).Routes() {
			registered = append(registered, route.Method+" "+parameter.ReplaceAllString(route.Path, "{$1}"))
		}
		Expect(described).To(ConsistOf(registered))
	})

	It("has the fields of the messages", func() {
		schemas := readPage().Components.Schemas
		files := []protoreflect.FileDescriptor{schemav1.File_almondrock_v1_admin_proto, schemav1.File_almondrock_v1_control_proto, schemav1.File_almondrock_v1_config_proto}
		checked := 0
		for _, file := range files {
			for i := range file.Messages().Len() {
				message := file.Messages().Get(i)
				schema, ok := schemas[string(message.Name())]
				if !ok {
					continue
				}
				var want, got []string
				for j := range message.Fields().Len() {
					want = append(want, message.Fields().Get(j).JSONName())
				}
				for name := range schema.Properties {
					got = append(got, name)
				}
				Expect(got).To(ConsistOf(want), string(message.Name()))
				checked++
			}
		}
		// All schemas but Refusal are messages.
		Expect(checked).To(Equal(len(schemas) - 1))
	})
})
