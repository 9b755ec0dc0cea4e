package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/load"
	"github.com/dykewing/dykewing/internal/standin/platform"
)

// waitTimeout limits each wait; test results do not depend on the time taken.
const waitTimeout = 60 * time.Second

// binary builds the command once for all tests and returns its path.
var binary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "dykewing-process-test-")
	if err != nil {
		return "", err
	}
	file := filepath.Join(folder, "dykewing")
	output, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return file, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if file, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(file))
	}
	os.Exit(code)
}

// process is a running daemon with its captured output.
type process struct {
	command *exec.Cmd
	output  *safeBuffer // standard output, which has the log
	errors  *safeBuffer
	ended   chan struct{}
}

type safeBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

func (b *safeBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// start runs the command and kills it when the test ends.
func start(t *testing.T, arguments ...string) *process {
	t.Helper()
	file, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	started := &process{command: exec.Command(file, arguments...), output: &safeBuffer{}, errors: &safeBuffer{}, ended: make(chan struct{})}
	started.command.Stdout = started.output
	started.command.Stderr = started.errors
	if err := started.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = started.command.Wait()
		close(started.ended)
	}()
	t.Cleanup(func() {
		_ = started.command.Process.Kill()
		<-started.ended
	})
	return started
}

// exitCode waits for the process to exit.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%v did not exit; output:\n%s%s", p.command.Args, p.output, p.errors)
	}
	return p.command.ProcessState.ExitCode()
}

// await polls until condition returns true.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func isReady(address string) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func startPlatform(t *testing.T, change func(*platform.Options)) *platform.Platform {
	t.Helper()
	options := platform.DefaultOptions(t.TempDir())
	options.Stores = 1
	if change != nil {
		change(&options)
	}
	running, err := platform.Start(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = running.Close() })
	return running
}

// TestRolesServeAsSeparateProcesses serves streamed chats and a batch job with each
// role in its own process, then checks that SIGTERM stops each one cleanly.
func TestRolesServeAsSeparateProcesses(t *testing.T) {
	running := startPlatform(t, nil)
	var processes []*process
	callers := ""
	for _, daemon := range running.Daemons {
		processes = append(processes, start(t, string(daemon.Role), "--settings", daemon.File))
		if daemon.ClientAddress != "" {
			callers = daemon.ClientAddress
		}
	}
	for _, daemon := range running.Daemons {
		await(t, string(daemon.ID)+" to be ready", func() bool { return isReady(daemon.Address) })
	}
	options := load.DefaultOptions()
	options.URL, options.Model = "http://"+callers+"/v1", platform.Model
	options.Rate, options.Duration, options.Timeout = 20, time.Second, waitTimeout
	awaitCorrectAnswers(t, options)
	report, err := load.Run(context.Background(), options)
	if err != nil || report.Correct != report.Sent || report.Sent == 0 {
		t.Errorf("online: right %d of %d, wrong %d, failures %v %v, %v", report.Correct, report.Sent, report.Wrong, report.Failures, report.Examples, err)
	}
	options.Class, options.Rate = api.ClassBatch, 2
	report, err = load.Run(context.Background(), options)
	if err != nil || report.Correct != report.Sent || report.Sent == 0 {
		t.Errorf("batch: right %d of %d, wrong %d, failures %v %v, %v", report.Correct, report.Sent, report.Wrong, report.Failures, report.Examples, err)
	}
	for i := len(processes) - 1; i >= 0; i-- {
		if err := processes[i].command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if code := processes[i].exitCode(t); code != 0 {
			t.Errorf("%v ended with %d after SIGTERM:\n%s%s", processes[i].command.Args, code, processes[i].output, processes[i].errors)
		}
	}
}

// awaitCorrectAnswers polls until one request of each class succeeds, since homes
// and group leaders may be discovered only after the processes report ready.
func awaitCorrectAnswers(t *testing.T, options load.Options) {
	t.Helper()
	options.Duration, options.Items = 50*time.Millisecond, 1
	for _, class := range []api.Class{api.ClassOnline, api.ClassBatch} {
		options.Class = class
		await(t, "the first right "+string(class)+" answer", func() bool {
			report, err := load.Run(context.Background(), options)
			return err == nil && report.Correct > 0
		})
	}
}

// checkOneLine checks that text is a single line that contains want.
func checkOneLine(t *testing.T, text, want string) {
	t.Helper()
	text = strings.TrimSpace(text)
	if strings.Count(text, "\n") != 0 || !strings.Contains(text, want) {
		t.Errorf("want one line with %q, got:\n%s", want, text)
	}
}

func TestInvalidSettingsExitWithCode2AndOneLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(file, []byte("node:\n  id: a\n  address: 127.0.0.1:0\n  colour: red\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, arguments := range [][]string{{"router", "--settings", file}, {"check-settings", file}} {
		failed := start(t, arguments...)
		if code := failed.exitCode(t); code != exitSettings {
			t.Errorf("%v ended with %d", arguments, code)
		}
		checkOneLine(t, failed.errors.String(), "line 4: node.colour: unknown key")
	}
}

func TestPortInUseExitsWithCode1AndOneLine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	running := startPlatform(t, nil)
	for _, daemon := range running.Daemons {
		failed := start(t, string(daemon.Role), "--settings", daemon.File, "--address", listener.Addr().String())
		if code := failed.exitCode(t); code != exitFailure {
			t.Errorf("%s ended with %d", daemon.Role, code)
		}
		checkOneLine(t, failed.errors.String(), "address already in use")
	}
}

func TestCorruptDataFolderExitsWithCode1AndOneLine(t *testing.T) {
	running := startPlatform(t, func(options *platform.Options) { options.Routers, options.Sidecars = 0, 0 })
	store := running.Daemons[0]
	first := start(t, "store", "--settings", store.File)
	await(t, "the store to serve", func() bool {
		response, err := http.Get("http://" + store.Address + "/healthz")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	})
	if err := first.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	first.exitCode(t)
	if overwriteFiles(t, strings.TrimSuffix(store.File, ".yaml")+"-data") == 0 {
		t.Fatal("the store wrote no file")
	}
	failed := start(t, "store", "--settings", store.File)
	if code := failed.exitCode(t); code != exitFailure {
		t.Errorf("ended with %d", code)
	}
	checkOneLine(t, failed.errors.String(), "store")
}

// overwriteFiles overwrites every file below folder with invalid data and returns
// the number of files.
func overwriteFiles(t *testing.T, folder string) int {
	t.Helper()
	count := 0
	err := filepath.WalkDir(folder, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		count++
		return os.WriteFile(path, bytes.Repeat([]byte("noise\n"), int(info.Size())/6+1), 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// TestUnreachableKeyValueServiceIsRetried checks that a daemon that can't load
// its table logs a warning, keeps running, and becomes ready once the service is
// reachable.
func TestUnreachableKeyValueServiceIsRetried(t *testing.T) {
	running := startPlatform(t, func(options *platform.Options) { options.Stores, options.Sidecars, options.Routers = 0, 0, 1 })
	router := running.Daemons[0]
	address := strings.TrimPrefix(running.KeyValueURL, "http://")
	hidden, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := hidden.Addr().String()
	_ = hidden.Close()
	raw, err := os.ReadFile(router.File)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(router.File, bytes.ReplaceAll(raw, []byte(address), []byte(unreachable)), 0o644); err != nil {
		t.Fatal(err)
	}
	started := start(t, "router", "--settings", router.File)
	await(t, "the warning", func() bool { return strings.Contains(started.output.String(), "key-value service") })
	if isReady(router.Address) {
		t.Error("ready without a table")
	}
	stop := forward(t, unreachable, address)
	defer stop()
	await(t, "the router to be ready", func() bool { return isReady(router.Address) })
}

// forward forwards TCP connections from one address to another until stopped.
func forward(t *testing.T, from, to string) (stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go forwardConnection(connection, to)
		}
	}()
	return func() { _ = listener.Close() }
}

func forwardConnection(near net.Conn, address string) {
	defer near.Close()
	far, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer far.Close()
	go func() { _, _ = io.Copy(far, near) }()
	_, _ = io.Copy(near, far)
}
