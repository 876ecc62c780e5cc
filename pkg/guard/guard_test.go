package guard

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGuard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "guard")
}

var _ = Describe("guard", func() {
	It("turns a panic into an error and calls the hooks", func() {
		var tasks []string
		OnPanic(func(task string) { tasks = append(tasks, task) })
		err := Run("task", func() error { panic("unexpected") })
		var panicked *PanicError
		Expect(errors.As(err, &panicked)).To(BeTrue())
		Expect(panicked.Reason).To(Equal("unexpected"))
		Expect(tasks).To(Equal([]string{"task"}))
		Expect(Run("task", func() error { return nil })).To(Succeed())
	})

	It("runs a loop again after a panic until it ends by itself", func() {
		runs := 0
		Loop(context.Background(), "task", func() {
			if runs++; runs < 3 {
				panic("unexpected")
			}
		})
		Expect(runs).To(Equal(3))
	})

	It("responds with 500 to a request whose handler panics, and passes on an aborted response", func() {
		response := httptest.NewRecorder()
		Handler("task", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("unexpected") })).ServeHTTP(response, httptest.NewRequest("GET", "/", nil))
		Expect(response.Code).To(Equal(http.StatusInternalServerError))
		Expect(func() {
			Handler("task", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })).ServeHTTP(response, httptest.NewRequest("GET", "/", nil))
		}).To(PanicWith(http.ErrAbortHandler))
	})
})
