package launcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cornellanding.example/bench/checker"
	"cornellanding.example/bench/demonstrator"
	"cornellanding.example/bench/launcher"
	"cornellanding.example/bench/loader"
	"cornellanding.example/instance/administrator"
	"cornellanding.example/standin/emulator"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// waitTimeout bounds waits for events that must happen eventually. The latency
// targets are measured by the drills and not asserted here.
const waitTimeout = 30 * time.Second

func startDeployment(t *testing.T, opts ...launcher.Option) *launcher.Deployment {
	t.Helper()
	is := is.New(t)
	de, err := launcher.New(opts...)
	is.NoErr(err)
	t.Cleanup(de.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(de.AwaitReady(ctx))
	return de
}

// response is the HTTP response that a caller received.
type response struct {
	status int
	body   string
	header http.Header
}

// placeOrder sends an order for the entity key k1. It fails the test only if no
// HTTP response is received; the caller checks the status.
func placeOrder(t *testing.T, entry, key, body string, headers ...string) response {
	t.Helper()
	an, err := tryOrder(entry, key, body, headers...)
	is.New(t).NoErr(err)
	return an
}

func tryOrder(entry, key, body string, headers ...string) (response, error) {
	re, err := http.NewRequest(http.MethodPost, "http://"+entry+"/orders/k1", strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	re.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		re.Header.Set(headers[i], headers[i+1])
	}
	an, err := http.DefaultClient.Do(re)
	if err != nil {
		return response{}, err
	}
	defer an.Body.Close()
	content, err := io.ReadAll(an.Body)
	return response{status: an.StatusCode, body: string(content), header: an.Header}, err
}

// eventually polls a condition until it holds, and fails the test after
// waitTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s did not happen in %v", what, waitTimeout)
}

// checkInvariants fails the test if the histories of callers and backend
// servers show a violated invariant.
func checkInvariants(t *testing.T, de *launcher.Deployment, results []loader.Result) {
	t.Helper()
	if list := checker.Check(demonstrator.History(de, results)); len(list) > 0 {
		t.Fatal(checker.Summary(list))
	}
}

// ownerOf returns the VM that owns the entity key k1.
func ownerOf(t *testing.T, de *launcher.Deployment) *launcher.VM {
	t.Helper()
	owner, ok := de.Tables()["ordering"].Owner(de.Tables()["ordering"].Partition("k1"))
	is.New(t).True(ok)
	return de.VM(owner.BackendServer)
}

// vmElsewhere returns a VM in another data centre than that of vm.
func vmElsewhere(de *launcher.Deployment, vm *launcher.VM) *launcher.VM {
	for _, candidate := range de.VMs() {
		if candidate.Name != vm.Name && candidate.DataCentre != vm.DataCentre {
			return candidate
		}
	}
	return nil
}

// TestOrderThroughEveryEntry guards against instances that do not forward a
// request to the owner of its key, and against workspace keys that reach a
// backend server.
func TestOrderThroughEveryEntry(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	for i, entry := range de.Entries() {
		an := placeOrder(t, entry, de.Keys["juazeiro"], fmt.Sprint("order-", i))
		is.Equal(an.status, http.StatusOK)
		is.True(strings.Contains(an.body, `"key":"k1"`))
		is.True(strings.Contains(an.body, an.header.Get("X-Request-Id"))) // the response body names the request id
	}
	checkInvariants(t, de, nil)
}

// TestTakeoverOfLostOwner guards against keys that stay unserved after their
// owner is killed, and against a replaced VM that does not get them back.
func TestTakeoverOfLostOwner(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	owner := ownerOf(t, de)
	entry := vmElsewhere(de, owner).CallerAddress
	is.Equal(placeOrder(t, entry, de.Keys["juazeiro"], "before").status, http.StatusOK)
	de.KillVM(owner.Name)
	eventually(t, "a takeover", func() bool { return placeOrder(t, entry, de.Keys["juazeiro"], "after").status == http.StatusOK })
	is.True(ownerOf(t, de).Name != owner.Name)
	is.NoErr(de.ReplaceVM(owner.Name))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(de.AwaitReady(ctx)) // a replaced VM serves again
	is.Equal(ownerOf(t, de).Name, owner.Name)
}

// TestIsolatedOwnerStopsServing guards against two active owners of a key: an
// owner that is cut off from the other instances and the platform, but not from
// its callers, must refuse requests once another instance has taken over.
func TestIsolatedOwnerStopsServing(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	owner := ownerOf(t, de)
	entry := vmElsewhere(de, owner).CallerAddress
	de.SetIsolated(owner.Name, true)
	eventually(t, "a takeover", func() bool { return placeOrder(t, entry, de.Keys["juazeiro"], "a").status == http.StatusOK })
	ran := len(owner.Server.Records())
	an := placeOrder(t, owner.CallerAddress, de.Keys["juazeiro"], "b")
	is.Equal(an.status, http.StatusServiceUnavailable) // a former owner refuses
	is.True(strings.Contains(an.body, `"outcome":"notRun"`))
	is.Equal(len(owner.Server.Records()), ran)
	eventually(t, "refusal of protected routes", func() bool {
		return strings.Contains(placeOrder(t, owner.CallerAddress, de.Keys["juazeiro"], "c").body, "keysNotFresh")
	})
	de.SetIsolated(owner.Name, false)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(de.AwaitReady(ctx)) // it rejoins as a new incarnation
	checkInvariants(t, de, nil)
}

// TestWithdrawnKeyStops guards against withdrawn API keys that an instance
// still honours: one instance is isolated during the withdrawal, and the
// platform becomes unreachable before the instance can catch up.
func TestWithdrawnKeyStops(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	cut := de.VMs()[0]
	key := de.Keys["olinda"]
	de.SetIsolated(cut.Name, true)
	is.NoErr(de.Edit(context.Background(), administrator.KeyWithdraw{Workspace: "olinda"}))
	eventually(t, "refusal of the withdrawn key by every instance", func() bool {
		for _, entry := range de.Entries() {
			an, err := tryOrder(entry, key, "x")
			isRefused := strings.Contains(an.body, "unknownKey") || strings.Contains(an.body, "keysNotFresh")
			if err != nil || !isRefused {
				return false
			}
		}
		return true
	})
	de.Platform.SetFaults(emulator.PlatformFaults{Unreachable: true})
	de.SetIsolated(cut.Name, false)
	for range 20 {
		for _, entry := range de.Entries() {
			is.True(placeOrder(t, entry, key, "x").status != http.StatusOK) // the withdrawn key is never accepted again
		}
	}
	// The instance that was isolated may still lack a fresh configuration and
	// refuse every key.
	for _, entry := range de.Entries()[1:] {
		is.Equal(placeOrder(t, entry, de.Keys["juazeiro"], "y").status, http.StatusOK) // other keys are still accepted
	}
	checkInvariants(t, de, nil)
}

// TestPlannedStopRefusesNothing guards against requests that fail while an
// owner stops gracefully and hands over its partitions.
func TestPlannedStopRefusesNothing(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	lo, err := loader.New(loader.WithCatalogue(de.Catalogue), loader.WithKeys(de.Keys), loader.WithEntries(de.Entries), loader.WithRate(150))
	is.NoErr(err)
	owner := ownerOf(t, de)
	done := make(chan []loader.Result, 1)
	go func() { done <- lo.Run(context.Background(), 3*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	is.NoErr(de.StopInstance(owner.Name))
	results := <-done
	for _, re := range results {
		if re.Outcome != loader.Answered {
			t.Logf("%+v", re)
		}
		is.Equal(re.Outcome, loader.Answered) // no request fails or is refused during the hand-over
	}
	checkInvariants(t, de, results)
}

// TestDataCentreEvacuationAndReturn guards against new requests in a data
// centre that an operator has taken out, and against a returned one that gets
// no partitions.
func TestDataCentreEvacuationAndReturn(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	centre := ownerOf(t, de).DataCentre
	is.NoErr(de.Edit(context.Background(), administrator.DataCentreDrain{DataCentre: centre}))
	owns := func() bool {
		for _, tb := range de.Tables() {
			for pt := range tb.Map.Partitions {
				if owner, _ := tb.Owner(pt); owner.DataCentre == centre {
					return true
				}
			}
		}
		return false
	}
	eventually(t, "evacuation of the data centre", func() bool { return !owns() })
	time.Sleep(time.Second)
	before := map[string]int{}
	for _, vm := range de.VMs() {
		before[vm.Name] = len(vm.Server.Records())
	}
	for _, entry := range de.Entries() {
		is.Equal(placeOrder(t, entry, de.Keys["juazeiro"], "x").status, http.StatusOK)
	}
	for _, vm := range de.VMs() {
		if vm.DataCentre == centre {
			is.Equal(len(vm.Server.Records()), before[vm.Name]) // an evacuated data centre gets no new requests
		}
	}
	is.NoErr(de.Edit(context.Background(), administrator.DataCentreDrain{DataCentre: centre, IsReturn: true}))
	eventually(t, "assignment of partitions to the returned data centre", owns)
	checkInvariants(t, de, nil)
}

// TestInvalidRequests guards against invalid requests that run, and against
// callers that set headers which only the router may set.
func TestInvalidRequests(t *testing.T) {
	de := startDeployment(t)
	entry := de.Entries()[0]
	good := de.Keys["juazeiro"]
	cases := map[string]struct {
		method  string
		path    string
		key     string
		body    string
		headers []string
		status  int
		code    string
	}{
		"unknown route":        {path: "/nothing", key: good, status: 404, code: "unknownRoute"},
		"wrong method":         {method: "DELETE", path: "/orders/k1", key: good, status: 404, code: "unknownRoute"},
		"no key":               {path: "/orders/k1", status: 401, code: "unknownKey"},
		"unknown key":          {path: "/orders/k1", key: "guess", status: 401, code: "unknownKey"},
		"large body":           {path: "/orders/k1", key: good, body: strings.Repeat("x", 2<<20), status: 413, code: "requestTooLarge"},
		"bad timeout":          {path: "/orders/k1", key: good, headers: []string{"X-Request-Timeout", "soon"}, status: 400, code: "badRequest"},
		"long entity key":      {path: "/orders/" + strings.Repeat("k", 2000), key: good, status: 400, code: "badRequest"},
		"long idempotency key": {path: "/orders/k1", key: good, headers: []string{"Idempotency-Key", strings.Repeat("i", 200)}, status: 400, code: "badRequest"},
		"forged headers":       {path: "/orders/k1", key: good, headers: []string{"Workspace", "olinda", "Fencing-Epoch", "99", "Entity-Key", "z", "Request-Id", "r"}, status: 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			method := tc.method
			if method == "" {
				method = http.MethodPost
			}
			re, err := http.NewRequest(method, "http://"+entry+tc.path, strings.NewReader(tc.body+name))
			is.NoErr(err)
			if tc.key != "" {
				re.Header.Set("Authorization", "Bearer "+tc.key)
			}
			for i := 0; i+1 < len(tc.headers); i += 2 {
				re.Header.Set(tc.headers[i], tc.headers[i+1])
			}
			an, err := http.DefaultClient.Do(re)
			is.NoErr(err)
			defer an.Body.Close()
			content, err := io.ReadAll(an.Body)
			is.NoErr(err)
			is.Equal(an.StatusCode, tc.status)
			is.True(strings.Contains(string(content), tc.code))
			is.True(tc.status == 200 || strings.Contains(string(content), `"outcome":"notRun"`))
		})
	}
	for _, vm := range de.VMs() {
		for _, rc := range vm.Server.Records() {
			is.New(t).True(rc.Workspace == "juazeiro" && rc.Key == "k1" && rc.Epoch < 99)
		}
	}
	checkInvariants(t, de, nil)
}

// TestUnauthenticatedPeerTraffic sends datagrams and RPCs without a valid tag
// to an instance's peer port. They must be rejected and must not disturb
// service.
func TestUnauthenticatedPeerTraffic(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	vm := de.VMs()[0]
	conn, err := net.Dial("udp", vm.PeerAddress())
	is.NoErr(err)
	defer conn.Close()
	rejected := func() uint64 { return de.Instance(vm.Name).Counts().Rejected }
	for i := range 50 {
		_, err := conn.Write([]byte(strings.Repeat("garbage", i+1)))
		is.NoErr(err)
	}
	eventually(t, "rejection of 50 datagrams", func() bool { return rejected() >= 50 })
	for _, path := range []string{"Forward", "Revoke", "Release", "Sync"} {
		an, err := http.Post("http://"+vm.PeerAddress()+"/twirp/cornellanding.peer.Peer/"+path, "application/protobuf", strings.NewReader("x"))
		is.NoErr(err)
		an.Body.Close()
		is.Equal(an.StatusCode, http.StatusForbidden) // RPCs without a valid tag are rejected
	}
	is.Equal(placeOrder(t, vm.CallerAddress, de.Keys["juazeiro"], "still here").status, http.StatusOK)
	checkInvariants(t, de, nil)
}

// TestSlowCallerIsDisconnected sends an incomplete request header and expects
// the instance to close the connection, while other callers are served.
func TestSlowCallerIsDisconnected(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	entry := de.Entries()[0]
	conn, err := net.Dial("tcp", entry)
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /orders/k1 HTTP/1.1\r\nHost: x\r\n"))
	is.NoErr(err)
	is.Equal(placeOrder(t, entry, de.Keys["juazeiro"], "meanwhile").status, http.StatusOK)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	content, err := io.ReadAll(conn)
	var ne net.Error
	is.True(!errors.As(err, &ne) || !ne.Timeout()) // closed by the instance, not by the test's read deadline
	is.Equal(strings.Contains(string(content), "200 OK"), false)
}

// TestNoKeyInLogs guards against workspace keys and operator keys in log lines,
// at the most verbose level.
func TestNoKeyInLogs(t *testing.T) {
	is := is.New(t)
	var log syncBuffer
	lo := hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, JSONFormat: true, Output: &log})
	de := startDeployment(t, launcher.WithLogger(lo), launcher.WithSampling(1))
	for _, entry := range de.Entries() {
		placeOrder(t, entry, de.Keys["juazeiro"], "x")
		placeOrder(t, entry, "a-guessed-key", "x")
	}
	de.Close()
	text := log.String()
	for _, decision := range []string{`"request answered"`, `"request refused"`, `"request handled by gatekeeper"`, `"partition map applied"`} {
		is.True(strings.Contains(text, decision)) // every kind of decision is logged
	}
	for _, key := range append([]string{"a-guessed-key", de.OperatorKey}, de.Keys["juazeiro"]) {
		is.Equal(strings.Contains(text, key), false)
	}
}

// TestAdministrationAPI guards against access without the operator key, edits
// that overwrite a concurrent one, and edits that do not take effect at every
// instance.
func TestAdministrationAPI(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	ctx := context.Background()
	vm := de.VMs()[0]
	stranger := administrator.NewClient(vm.AdminAddress, "wrong")
	_, err := stranger.Status(ctx)
	var ae *administrator.APIError
	is.True(errors.As(err, &ae))
	is.Equal(ae.Status, http.StatusUnauthorized)
	cl := administrator.NewClient(vm.AdminAddress, de.OperatorKey)
	config, err := cl.Config(ctx)
	is.NoErr(err)
	edit := administrator.WireEdit{Kind: administrator.KindDataCentreOut, DataCentre: "natal", From: config.Version, Operator: "ana"}
	version, err := cl.Edit(ctx, edit)
	is.NoErr(err)
	is.Equal(version.Version, config.Version+1)
	_, err = administrator.NewClient(de.VMs()[5].AdminAddress, de.OperatorKey).Edit(ctx, edit)
	is.True(errors.As(err, &ae))
	is.Equal(ae.Status, http.StatusConflict)
	is.True(strings.Contains(ae.Reason, "ana: took out data centre natal")) // the conflict names the change that won
	list, err := cl.Explain(ctx, "k1")
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].Owner, ownerOf(t, de).Name)
	eventually(t, "the end of all warnings", func() bool {
		warnings, err := cl.Warnings(ctx)
		is.NoErr(err)
		return len(warnings) == 0
	})
	eventually(t, "application of the edit by every instance", func() bool {
		for _, vm := range de.VMs() {
			st, err := de.Status(ctx, vm)
			if err != nil || st.ConfigVersion != version.Version {
				return false
			}
		}
		return true
	})
}

// TestForgetDestroyedVM kills an owner and all its watchers, the acceptors of
// its lease, at once. No majority can then prove that the owner stopped, so
// takeover needs an operator who confirms that the VM is destroyed.
func TestForgetDestroyedVM(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	ctx := context.Background()
	owner := ownerOf(t, de)
	st, err := de.Status(ctx, owner)
	is.NoErr(err)
	lost := append([]string{owner.Name}, st.Watchers...)
	survivor := (*launcher.VM)(nil)
	for _, vm := range de.VMs() {
		if !slices.Contains(lost, vm.Name) {
			survivor = vm
		}
	}
	var wg sync.WaitGroup
	for _, name := range lost {
		wg.Go(func() { de.KillVM(name) })
	}
	wg.Wait()
	cl := administrator.NewClient(survivor.AdminAddress, de.OperatorKey)
	is.True(cl.Forget(ctx, administrator.WireForget{BackendServer: owner.Name}) != nil) // refused without the operator's confirmation
	is.NoErr(cl.Forget(ctx, administrator.WireForget{BackendServer: owner.Name, IsDestroyed: true}))
	for _, name := range st.Watchers {
		// A watcher whose own watchers still run may have been revoked already.
		_ = cl.Forget(ctx, administrator.WireForget{BackendServer: name, IsDestroyed: true})
	}
	eventually(t, "service by another owner", func() bool {
		an, err := tryOrder(survivor.CallerAddress, de.Keys["juazeiro"], "after")
		return err == nil && an.status == http.StatusOK
	})
	checkInvariants(t, de, nil)
}

// TestTableUnreachableWarning checks that the warning appears while the
// platform is down and ends afterwards.
func TestTableUnreachableWarning(t *testing.T) {
	is := is.New(t)
	de := startDeployment(t)
	cl := administrator.NewClient(de.VMs()[0].AdminAddress, de.OperatorKey)
	has := func(kind string) bool {
		list, err := cl.Warnings(context.Background())
		is.NoErr(err)
		for _, wa := range list {
			if wa.Kind == kind {
				return true
			}
		}
		return false
	}
	de.Platform.SetFaults(emulator.PlatformFaults{Down: true})
	eventually(t, "the warning that the table is unreachable", func() bool { return has("tableUnreachable") })
	de.Platform.SetFaults(emulator.PlatformFaults{})
	eventually(t, "the end of that warning", func() bool { return !has("tableUnreachable") })
}
