package kqmetric_test

import (
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"kumquatlink/io/kqmetric"
)

// scrape returns the metrics in the text format.
func scrape(m *kqmetric.Metrics) string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

func TestMetricsAreServedInPrometheusFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, err := kqmetric.New()
		if err != nil {
			t.Fatal(err)
		}
		m.Count(kqmetric.Answers, "ran", "Done")
		m.Count(kqmetric.Answers, "ran", "Done")
		m.Set(kqmetric.ConfigurationVersion, 12)
		m.Time(kqmetric.StoreTime, time.Millisecond, "Get")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		text := scrape(m)
		for _, want := range []string{
			`kumquatlink_answers{cause="Done",outcome="ran"} 2`,
			`kumquatlink_configuration_version 12`,
			`kumquatlink_store_time_count{operation="Get"} 1`,
		} {
			if !strings.Contains(text, want) {
				t.Errorf("metrics: got\n%swant them to contain %q", text, want)
			}
		}
		if err := m.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestNumberOfSeriesIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, err := kqmetric.New()
		if err != nil {
			t.Fatal(err)
		}
		for i := range 10_000 {
			m.Count(kqmetric.Answers, "ran", fmt.Sprintf("cause-%d", i))
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		series := len(regexp.MustCompile(`(?m)^kumquatlink_answers\{`).FindAllString(scrape(m), -1))
		if want := 129; series != want {
			t.Errorf("series: got %d, want %d", series, want)
		}
		if err := m.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestTeamsHaveMoreSeries counts answers of more teams than a node keeps series for.
func TestTeamsHaveMoreSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, err := kqmetric.New()
		if err != nil {
			t.Fatal(err)
		}
		for i := range 10_000 {
			m.Count(kqmetric.TeamAnswers, fmt.Sprintf("team-%d", i), "served")
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		series := len(regexp.MustCompile(`(?m)^kumquatlink_team_answers\{`).FindAllString(scrape(m), -1))
		if want := 513; series != want {
			t.Errorf("series: got %d, want %d", series, want)
		}
		if err := m.Close(); err != nil {
			t.Fatal(err)
		}
	})
}
