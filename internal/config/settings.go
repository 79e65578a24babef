package config

import (
	"time"

	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/transferrate"
)

// SchemaVersion is the version of the operators' file that this program reads.
const SchemaVersion = 1

// Settings holds the values of the operators' file, and this struct is the file's schema. The tags of
// each field describe its key to the decoder, the reference page and the template:
//
//	key       the key's name in the file
//	doc       what the key means, in a sentence or two
//	default   the value if the file does not give the key, as the file would write it
//	min, max  the range of a time, size or number, both inclusive
//	choices   the words that are allowed, separated by commas
//	reload    "live" if SIGHUP changes the value, "restart" if only a restart does
//	required  "yes" if the file must give the key
//	unset     what it means that the file does not give the key, if that is more than a default
//	kind      of a string or of a list's elements: "name", "address" (HOST:PORT) or "path"; a string
//	          without a kind has choices
type Settings struct {
	SchemaVersion int            `key:"schema" min:"1" reload:"restart" required:"yes" doc:"The version of the file's format. This program reads version 1."`
	Application   Application    `key:"application" doc:"The application that the sidecar belongs to. All its sidecars may share one file."`
	Callers       Callers        `key:"callers" doc:"The connections of callers, which send requests to the sidecar."`
	Endpoints     Endpoints      `key:"endpoints" doc:"The connections to the endpoints of the tier, and their responses."`
	Streams       Streams        `key:"streams" doc:"Bodies that are too long to be held in memory whole, and are passed on as they arrive. Off unless max_body or max_answer is set."`
	Probe         Probe          `key:"probe" doc:"The probes that the balancer sends to endpoints."`
	Discovery     Discovery      `key:"discovery" doc:"How the list of endpoints is kept up to date."`
	Shutdown      Shutdown       `key:"shutdown" doc:"How the sidecar stops after SIGTERM."`
	Limits        ResourceLimits `key:"limits" doc:"The resources of its machine that the sidecar may use. A platform's limits take precedence; the file may only lower them."`
	Fleet         Fleet          `key:"fleet" doc:"The deployment that the sidecar is part of. Without a platform's configuration, the file describes it here. Beside one, these keys may be left out, and a key that is given must not be looser than the platform's value."`

	// Classes holds the classes of requests by name. No value is nil.
	Classes map[string]*Class `key:"class" doc:"A class of requests, by the name that callers send. Beside a platform's configuration a class may only be narrowed: less time, fewer attempts, a smaller scope."`

	keyPositions map[string]Position // of the keys and tables that the file gives, by path
}

// Application holds the table [application].
type Application struct {
	Name             string   `key:"name" kind:"name" required:"yes" reload:"restart" doc:"The application's name, which logs and findings show."`
	Tier             string   `key:"tier" kind:"name" reload:"restart" unset:"given by the platform's configuration" doc:"The tier whose endpoints the sidecar sends to."`
	DownstreamTiers  []string `key:"calls" kind:"name" reload:"restart" doc:"The tiers to which this tier's endpoints send requests in turn. Tiers that call each other in a circle are refused."`
	ListenAddress    string   `key:"listen" kind:"address" reload:"restart" unset:"given by the platform's configuration" doc:"The address on which callers connect."`
	DiscoveryAddress string   `key:"discovery" kind:"address" reload:"live" unset:"given by the platform's configuration" doc:"The address of the agent or service that provides the list of endpoints."`
}

// Callers holds the table [callers].
type Callers struct {
	ExtraListenAddresses []string      `key:"also_listen" kind:"address" reload:"restart" doc:"Further addresses on which callers connect. They are refused beside a platform's configuration, which gives a sidecar one address."`
	MaxConnections       int           `key:"connections" min:"0" max:"1000000" default:"0" reload:"restart" unset:"a third of the descriptors" doc:"How many connections callers may have open; 0 means a third of the descriptors."`
	HeadTimeout          time.Duration `key:"head_time" default:"2s" min:"50ms" max:"1m" reload:"restart" doc:"How long a caller may take to send a request's header section. The time starts with the request's first byte or, for the first request on a connection, when the connection is opened."`
	BodyTimeout          time.Duration `key:"body_time" default:"700ms" min:"10ms" max:"1m" reload:"live" doc:"How long a caller may take to send a request's body, in addition to what is left of head_time."`
	WriteTimeout         time.Duration `key:"write_time" default:"5s" min:"100ms" max:"5m" reload:"live" doc:"How long a caller may take to read a response."`
	IdleTimeout          time.Duration `key:"idle_time" default:"5s" min:"100ms" max:"1h" reload:"restart" doc:"How long a caller's connection may be idle between requests."`
	EvictionGrace        time.Duration `key:"eviction_grace" default:"100ms" min:"1ms" max:"10s" reload:"live" doc:"How long a connection that has received part of a request is protected from being closed to make room for a new one; less while many wait."`
	MaxRequestHead       Size          `key:"max_head" default:"16KiB" min:"1KiB" max:"1MiB" reload:"restart" doc:"The longest header section of a request."`
	MaxRequestBody       Size          `key:"max_body" default:"64KiB" min:"0" max:"16MiB" reload:"live" doc:"The longest body of a request that is held in memory whole."`
	ResponseMargin       time.Duration `key:"answer_margin" default:"10ms" min:"0s" max:"1s" reload:"live" doc:"How much of a caller's timeout is reserved for returning the response. As much again is reserved for the balancer to finish what it has started. Each is at most a tenth of the timeout."`
}

// Endpoints holds the table [endpoints].
type Endpoints struct {
	MaxConnections   int           `key:"connections" min:"0" max:"1000000" default:"0" reload:"restart" unset:"the descriptors that callers, body files and the reserve leave" doc:"How many connections to endpoints may be open; 0 means all descriptors that callers, body files and the reserve for the sidecar itself leave."`
	ConnectTimeout   time.Duration `key:"connect_time" min:"1ms" max:"1m" reload:"restart" unset:"the platform's, else 250ms" doc:"How long connecting to an endpoint may take. If it takes longer, the request has not been sent on that connection."`
	KeepAliveTimeout time.Duration `key:"keep_alive" min:"10ms" max:"1h" reload:"restart" unset:"the platform's, else 10s" doc:"The shortest time for which endpoints keep an idle connection open. The sidecar closes idle connections after nine tenths of it."`
	MaxResponseHead  Size          `key:"max_answer_head" default:"16KiB" min:"1KiB" max:"1MiB" reload:"live" doc:"The longest header section of a response, together with those of the 1xx responses before it."`
	MaxResponseBody  Size          `key:"max_answer" default:"64KiB" min:"1KiB" max:"16MiB" reload:"live" doc:"The longest body of a response that is held in memory whole. If a body is too long, the attempt has failed and may have run."`
}

// Streams holds the table [streams].
type Streams struct {
	MaxRequestBody          Size          `key:"max_body" default:"0" min:"0" max:"1TiB" reload:"live" unset:"off, so callers.max_body is the limit" doc:"The longest request body that is streamed. Bodies over callers.max_body are streamed. 0 turns this off."`
	MaxResponseBody         Size          `key:"max_answer" default:"0" min:"0" max:"1TiB" reload:"live" unset:"off, so endpoints.max_answer is the limit" doc:"The longest body of a 200 response that is streamed. Bodies over endpoints.max_answer are streamed. 0 turns this off."`
	AllowChunked            *bool         `key:"chunked" reload:"live" unset:"false" doc:"Whether bodies of unknown length are accepted: chunked requests, and responses of unknown length, which are passed on in chunks once they exceed look."`
	MaxOpenRequests         int           `key:"open" default:"100" min:"1" max:"100000" reload:"live" doc:"How many requests with streamed bodies may be open. A further one is refused, with a time after which to retry."`
	Window                  Size          `key:"window" default:"32KiB" min:"4KiB" max:"1MiB" reload:"live" doc:"How much of a body may be buffered that the endpoint has not received yet. When the window is full, the caller has to wait."`
	MaxMemoryPerBody        Size          `key:"memory" default:"0" min:"0" max:"1GiB" reload:"live" doc:"How much of one body is retained in memory for further attempts."`
	MaxMemoryTotal          Size          `key:"memory_all" default:"0" min:"0" max:"1TiB" reload:"live" doc:"How much memory all retained bodies together may use, in addition to their windows."`
	MaxFilePerBody          Size          `key:"file" default:"0" min:"0" max:"1TiB" reload:"live" doc:"How much of one body is retained in a file in $TMPDIR, in addition to memory. A body that does not fit is not retained, and its request gets no further attempt."`
	MaxFilesTotal           Size          `key:"files_all" default:"0" min:"0" max:"1TiB" reload:"live" doc:"How much space all these files together may use."`
	RAMDisk                 *bool         `key:"ram_disk" reload:"live" unset:"false" doc:"Whether $TMPDIR is in memory. If so, its files count against limits.memory."`
	ResponseCommitThreshold Size          `key:"look" default:"8KiB" min:"0" max:"1MiB" reload:"live" doc:"How much of a long response must have arrived before any of it is sent to the caller. Until then another attempt's response may replace it."`
	MinRate                 Size          `key:"least_rate" default:"1KiB" min:"1B" max:"1GiB" reload:"live" doc:"How much a caller or endpoint must send or receive each second, on average over the time in which the sidecar waits for it alone. A slower transfer is ended."`
	RateWindow              time.Duration `key:"rate_window" default:"5s" min:"50ms" max:"10m" reload:"live" doc:"The time over which least_rate is measured. A transfer that makes no progress is ended within twice this time."`
}

// RequestsEnabled reports whether requests with streamed bodies are accepted.
func (s *Streams) RequestsEnabled() bool { return s.MaxRequestBody > 0 }

// ChunkedEnabled reports whether bodies of unknown length are accepted.
func (s *Streams) ChunkedEnabled() bool { return s.AllowChunked != nil && *s.AllowChunked }

// RateMeter returns a meter of the minimum transfer rate for one side of a streamed body.
func (s *Streams) RateMeter() transferrate.Meter {
	return transferrate.Meter{MinBytesPerSecond: int64(s.MinRate), Window: s.RateWindow}
}

// BodyLimits returns how much memory and file space the streamed bodies of requests may use.
func (s *Streams) BodyLimits() body.Limits {
	return body.Limits{
		WindowBytes: int(s.Window), MemoryBytes: int64(s.MaxMemoryPerBody), TotalMemoryBytes: int64(s.MaxMemoryTotal),
		FileBytes: int64(s.MaxFilePerBody), TotalFileBytes: int64(s.MaxFilesTotal),
	}
}

// Probe holds the table [probe].
type Probe struct {
	Path    string        `key:"path" kind:"path" reload:"live" unset:"/load, or /healthz if there are no load reports" doc:"The path that probes request."`
	Timeout time.Duration `key:"time" default:"250ms" min:"1ms" max:"10s" reload:"live" doc:"How long to wait for the response to a probe."`
}

// Discovery holds the table [discovery].
type Discovery struct {
	PushWait            time.Duration `key:"push_wait" default:"200ms" min:"0s" max:"1m" reload:"restart" doc:"For a pushed list: how long the agent on this machine may hold a request open until there is an update."`
	PushResponseTimeout time.Duration `key:"push_answer" default:"200ms" min:"10ms" max:"1m" reload:"restart" doc:"How long the agent's response may take beyond push_wait."`
	PollWait            time.Duration `key:"ask_wait" default:"20s" min:"0s" max:"1m" reload:"restart" doc:"For a polled list: how long the service may hold a request open until there is an update."`
	PollResponseTimeout time.Duration `key:"ask_answer" default:"2s" min:"10ms" max:"1m" reload:"restart" doc:"How long the service's response may take beyond ask_wait."`
	MinPause            time.Duration `key:"pause" default:"100ms" min:"1ms" max:"150ms" reload:"restart" doc:"The shortest time between two discovery requests. A watch ends unless the next request arrives within 200ms of the last response."`
}

// Shutdown holds the table [shutdown].
type Shutdown struct {
	AcceptGrace    time.Duration `key:"linger" default:"500ms" min:"0s" max:"1m" reload:"live" doc:"How long connections are still accepted after SIGTERM."`
	DeadlineMargin time.Duration `key:"spare" default:"200ms" min:"0s" max:"1m" reload:"live" doc:"How long beyond the longest deadline the sidecar waits for open requests before it exits."`
}

// ResourceLimits holds the table [limits].
type ResourceLimits struct {
	Cores     float64 `key:"cores" min:"0.01" max:"1024" reload:"restart" unset:"the platform's, else 1" doc:"How many of the machine's cores the sidecar may use."`
	Memory    Size    `key:"memory" min:"8MiB" max:"1TiB" reload:"restart" unset:"the platform's, else 192MiB" doc:"How much memory the sidecar may use."`
	Sockets   int     `key:"sockets" min:"64" max:"1048576" reload:"restart" unset:"the platform's, else 1024" doc:"How many file descriptors the sidecar may have open."`
	HeapShare float64 `key:"heap" default:"0.75" min:"0.1" max:"0.95" reload:"restart" doc:"The share of the sidecar's memory to which the Go runtime is limited. The rest is for stacks, files and the program itself."`
}

// Fleet holds the table [fleet].
type Fleet struct {
	Zone              string        `key:"zone" kind:"name" reload:"restart" unset:"the platform's, else the first zone" doc:"The zone that the sidecar is in."`
	Zones             []string      `key:"zones" kind:"name" reload:"restart" doc:"The names of all zones."`
	SidecarCount      int           `key:"sidecars" min:"1" max:"1000000" reload:"restart" unset:"the platform's, else 1" doc:"How many sidecars send to the tier. Each may send a cold endpoint only its part of what the endpoint can take."`
	SidecarIndex      int           `key:"number" min:"0" max:"1000000" reload:"restart" unset:"the platform's, else 0" doc:"This sidecar's number among them, from 0."`
	DiscoveryMode     string        `key:"list" choices:"push,ask" reload:"restart" unset:"the platform's, else push" doc:"How the list of endpoints arrives: it is pushed to an agent on this machine, or a service is polled for it."`
	LoadReporting     string        `key:"reports" choices:"probe,answers,none" reload:"restart" unset:"the platform's, else probe" doc:"How load reports arrive: in responses to probes, in all responses, or not at all."`
	DrainGrace        time.Duration `key:"drain_grace" min:"1ms" max:"1m" reload:"restart" unset:"the platform's, else 500ms" doc:"How long the sidecar may still send new requests to an endpoint after it was notified that the endpoint drains or is removed."`
	ColdCapacityShare float64       `key:"cold_share" min:"0.01" max:"1" reload:"restart" unset:"the platform's, else 0.14" doc:"The share of its capacity that an endpoint has at the least when it starts."`
	WarmupTime        time.Duration `key:"cold_time" min:"1ms" max:"1h" reload:"restart" unset:"the platform's, else 22s" doc:"How long after its start an endpoint reaches full capacity at the latest."`
	OverloadMultiple  float64       `key:"fall_multiple" min:"1" max:"1000" reload:"restart" unset:"the platform's, else 3" doc:"The multiple of its current capacity above which load makes a cold endpoint fail, if it lasts for fall_time."`
	OverloadTime      time.Duration `key:"fall_time" min:"1ms" max:"1m" reload:"restart" unset:"the platform's, else 2s" doc:"How long load above fall_multiple must last to make a cold endpoint fail."`
	MaxAttempts       int           `key:"attempts" min:"1" max:"100" reload:"restart" unset:"the platform's, else 6" doc:"The most attempts of any request, whatever its class."`
	Hedging           *bool         `key:"second_copies" reload:"restart" unset:"the platform's, else true" doc:"Whether a request may have two attempts in flight at once (hedging)."`
	MaxRetryAfter     time.Duration `key:"max_retry_after" min:"1ms" max:"1h" reload:"restart" unset:"the platform's, else 2s" doc:"The longest Retry-After that callers respect."`
}

// Class holds a table [class.NAME].
type Class struct {
	TargetLatency  time.Duration `key:"wanted" min:"1ms" max:"1h" reload:"restart" unset:"the platform's; required without a platform" doc:"The wanted time, or target latency: a response within it has its full value."`
	Deadline       time.Duration `key:"deadline" min:"1ms" max:"1h" reload:"restart" unset:"the platform's; required without a platform" doc:"How long a client waits, over all its tries together."`
	Semantics      string        `key:"semantics" choices:"safe,keyed,unsafe" reload:"restart" unset:"the platform's; required without a platform" doc:"Whether a request may run more than once: a safe one may, repeats of a keyed one are dropped by its key, an unsafe one must not."`
	Scope          string        `key:"scope" choices:"all,zone,cell" reload:"restart" unset:"the platform's; required for keyed without a platform" doc:"For keyed: which endpoints drop the repeats of a request: all, those in one zone, or those in one cell."`
	RepeatWindow   time.Duration `key:"repeat_window" min:"1ms" max:"24h" reload:"restart" unset:"the platform's; required for keyed without a platform" doc:"For keyed: how long the endpoints of the scope drop repeats, from when the first attempt was sent."`
	Value          float64       `key:"worth" min:"0.001" max:"1000000" reload:"restart" unset:"the platform's, else 1" doc:"The value of a response, relative to those of other classes."`
	LateValueShare *float64      `key:"late_worth" min:"0" max:"1" reload:"restart" unset:"the platform's, else 0" doc:"The share of its value that a response still has after the wanted time, up to the deadline. With 0, the sidecar gives up on a request, and responds to its caller, when the wanted time is over."`
	MaxAttempts    int           `key:"attempts" min:"1" max:"100" reload:"live" unset:"the limit for any request" doc:"The most attempts of a request, including those that never ran."`
	MaxRetries     *int          `key:"retries" min:"0" max:"99" reload:"live" unset:"one less than attempts; 0 for unsafe" doc:"How often a request is sent again after an attempt that may have run."`
	Hedging        *bool         `key:"second_copies" reload:"live" unset:"the value for any request; false for unsafe" doc:"Whether a second attempt may be sent while the first is in flight."`
	RetryWithin    time.Duration `key:"retry_within" min:"1ms" max:"1h" reload:"live" unset:"for as long as a response has any value" doc:"How long after a request was received a further attempt may start."`
}
