package config

import (
	"time"

	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/transferrate"
)

// SchemaVersion is the version of the operators' file that this program reads.
const SchemaVersion = 1

// Settings is the operators' file: this struct is its schema. Each field's tags say what the
// reference page, the template and the decoder need:
//
//	key      its name in the file
//	doc      what it means, in a sentence or two
//	default  its value where the file leaves it out, as the file would write it
//	min, max the values allowed, for times, sizes and numbers
//	choices  the words allowed
//	reload   "live" if SIGHUP changes it, "restart" if it is read at the start only
//	unset    what leaving it out means, where that is more than a value
//
// Strings may also be of a kind: "name", "address" (HOST:PORT), "path" or "text".
type Settings struct {
	SchemaVersion int            `key:"schema" min:"1" reload:"restart" required:"yes" doc:"The version of this file's form. This program reads version 1."`
	Application   Application    `key:"application" doc:"Which application this is. All its sidecars may share one file."`
	Callers       Callers        `key:"callers" doc:"Those who send requests to the sidecar."`
	Endpoints     Endpoints      `key:"endpoints" doc:"The connections to the endpoints of the tier, and their answers."`
	Streams       Streams        `key:"streams" doc:"Bodies that are passed on as they arrive, being too long to be held whole. Off unless max_body or max_answer is set."`
	Probe         Probe          `key:"probe" doc:"The probes that the balancer asks for."`
	Discovery     Discovery      `key:"discovery" doc:"How the list of endpoints is followed."`
	Shutdown      Shutdown       `key:"shutdown" doc:"The end after SIGTERM."`
	Limits        ResourceLimits `key:"limits" doc:"What the sidecar may use of its machine. A platform's configuration goes before; the file may ask for less."`
	Fleet         Fleet          `key:"fleet" doc:"What a platform tells its sidecars and an installation without one states here. Beside a platform's configuration these keys may be left out; one that is given must not promise more than that."`

	// Classes holds the classes of requests by name.
	Classes map[string]*Class `key:"class" doc:"A class of requests, by the name that callers send. Beside a platform's configuration a class may only be narrowed: less time, fewer attempts, a smaller scope."`

	keyPositions map[string]Position
}

// Application is the part [application].
type Application struct {
	Name             string   `key:"name" kind:"name" required:"yes" reload:"restart" doc:"The application's name, as in logs and findings."`
	Tier             string   `key:"tier" kind:"name" reload:"restart" unset:"the platform's configuration says it" doc:"The tier whose endpoints the sidecar sends to."`
	DownstreamTiers  []string `key:"calls" kind:"name" reload:"restart" doc:"The tiers that this tier's endpoints call in turn. A circle of calls is refused."`
	ListenAddress    string   `key:"listen" kind:"address" reload:"restart" unset:"the platform's configuration says it" doc:"Where callers connect."`
	DiscoveryAddress string   `key:"discovery" kind:"address" reload:"live" unset:"the platform's configuration says it" doc:"Where discovery is asked for the list of endpoints."`
}

// Callers is the part [callers].
type Callers struct {
	ExtraListenAddresses []string      `key:"also_listen" kind:"address" reload:"restart" doc:"Further addresses on which callers are served. A platform that gives a sidecar one address needs none."`
	MaxConnections       int           `key:"connections" min:"0" max:"1000000" default:"0" reload:"restart" unset:"a third of the descriptors" doc:"How many connections callers may have open, 0 for a third of the descriptors."`
	HeadTimeout          time.Duration `key:"head_time" default:"2s" min:"50ms" max:"1m" reload:"restart" doc:"How long a caller may take over a request's header, and before its first."`
	BodyTimeout          time.Duration `key:"body_time" default:"700ms" min:"10ms" max:"1m" reload:"live" doc:"How long a caller may take over a request's body, beyond what is left of head_time."`
	WriteTimeout         time.Duration `key:"write_time" default:"5s" min:"100ms" max:"5m" reload:"live" doc:"How long a caller may take to read an answer."`
	IdleTimeout          time.Duration `key:"idle_time" default:"5s" min:"100ms" max:"1h" reload:"restart" doc:"How long a caller's connection may stand idle between requests."`
	EvictionGrace        time.Duration `key:"eviction_grace" default:"100ms" min:"1ms" max:"10s" reload:"live" doc:"How long a connection on which part of a request has come is kept even where its place is wanted."`
	MaxRequestHead       Size          `key:"max_head" default:"16KiB" min:"1KiB" max:"1MiB" reload:"restart" doc:"The longest header of a request."`
	MaxRequestBody       Size          `key:"max_body" default:"64KiB" min:"0" max:"16MiB" reload:"live" doc:"The longest body of a request; it is held in memory."`
	ResponseMargin       time.Duration `key:"answer_margin" default:"10ms" min:"0s" max:"1s" reload:"live" doc:"What is kept of a caller's time for the answer's way back, and once more for the balancer to end what it began. A tenth of a shorter time is kept instead."`
}

// Endpoints is the part [endpoints].
type Endpoints struct {
	MaxConnections   int           `key:"connections" min:"0" max:"1000000" default:"0" reload:"restart" unset:"what callers and the reserve leave" doc:"How many connections to endpoints may be open, 0 for all descriptors that callers and the reserve leave."`
	ConnectTimeout   time.Duration `key:"connect_time" min:"1ms" max:"1m" reload:"restart" unset:"the platform's, else 250ms" doc:"How long a new connection may take to come up; one that takes longer has not carried the request."`
	KeepAliveTimeout time.Duration `key:"keep_alive" min:"10ms" max:"1h" reload:"restart" unset:"the platform's, else 10s" doc:"How long an endpoint keeps an idle connection at the least; the sidecar closes it after nine tenths of that."`
	MaxResponseHead  Size          `key:"max_answer_head" default:"16KiB" min:"1KiB" max:"1MiB" reload:"live" doc:"The longest header of an answer, 1xx answers and all."`
	MaxResponseBody  Size          `key:"max_answer" default:"64KiB" min:"1KiB" max:"16MiB" reload:"live" doc:"The longest body of an answer; a longer one is a failed attempt that may have run."`
}

// Streams is the part [streams].
type Streams struct {
	MaxRequestBody          Size          `key:"max_body" default:"0" min:"0" max:"1TiB" reload:"live" unset:"none is: callers.max_body is the longest" doc:"The longest body of a request that is passed on as it arrives, which one over callers.max_body is. 0 for none."`
	MaxResponseBody         Size          `key:"max_answer" default:"0" min:"0" max:"1TiB" reload:"live" unset:"none is: endpoints.max_answer is the longest" doc:"The longest body of an answer 200 that is passed on as it comes, which one over endpoints.max_answer is. 0 for none."`
	AllowChunked            *bool         `key:"chunked" reload:"live" unset:"false" doc:"Whether bodies without a length are taken: requests in chunks, and answers of unknown length, which go on in chunks from look on."`
	MaxOpenRequests         int           `key:"open" default:"100" min:"1" max:"100000" reload:"live" doc:"How many requests with such bodies may be open. One more is refused, with when to come back."`
	Window                  Size          `key:"window" default:"32KiB" min:"4KiB" max:"1MiB" reload:"live" doc:"How far a body may be ahead of the endpoint that takes it before its caller has to wait."`
	MaxMemoryPerBody        Size          `key:"memory" default:"0" min:"0" max:"1GiB" reload:"live" doc:"How much of one body is kept in memory for further attempts."`
	MaxMemoryTotal          Size          `key:"memory_all" default:"0" min:"0" max:"1TiB" reload:"live" doc:"How much memory all bodies that are kept may take beyond their windows."`
	MaxFilePerBody          Size          `key:"file" default:"0" min:"0" max:"1TiB" reload:"live" doc:"How much of one body is kept in a file in $TMPDIR beyond that. What fits nowhere is not kept, and such a request gets no further attempt."`
	MaxFilesTotal           Size          `key:"files_all" default:"0" min:"0" max:"1TiB" reload:"live" doc:"How much all such files may take."`
	RAMDisk                 *bool         `key:"ram_disk" reload:"live" unset:"false" doc:"Whether $TMPDIR is memory: then files count against limits.memory."`
	ResponseCommitThreshold Size          `key:"look" default:"8KiB" min:"0" max:"1MiB" reload:"live" doc:"How much of a long answer must have come before any of it goes to the caller. Until then another attempt may answer in its place."`
	MinRate                 Size          `key:"least_rate" default:"1KiB" min:"1B" max:"1GiB" reload:"live" doc:"What a caller or endpoint has to send or take a second, on average over the time that it alone is waited for. A slower one is ended."`
	RateWindow              time.Duration `key:"rate_window" default:"5s" min:"50ms" max:"10m" reload:"live" doc:"The time over which that is measured. One that is silent is ended within twice this."`
}

// RequestsEnabled tells whether requests whose bodies flow are taken.
func (s *Streams) RequestsEnabled() bool { return s.MaxRequestBody > 0 }

// ChunkedEnabled tells whether bodies without a length are taken.
func (s *Streams) ChunkedEnabled() bool { return s.AllowChunked != nil && *s.AllowChunked }

// RateMeter is what is asked of either side of a body that flows.
func (s *Streams) RateMeter() transferrate.Meter {
	return transferrate.Meter{MinBytesPerSecond: int64(s.MinRate), Window: s.RateWindow}
}

// BodyLimits are what bodies of requests may hold.
func (s *Streams) BodyLimits() body.Limits {
	return body.Limits{
		WindowBytes: int(s.Window), MemoryBytes: int64(s.MaxMemoryPerBody), TotalMemoryBytes: int64(s.MaxMemoryTotal), FileBytes: int64(s.MaxFilePerBody), TotalFileBytes: int64(s.MaxFilesTotal),
	}
}

// Probe is the part [probe].
type Probe struct {
	Path    string        `key:"path" kind:"path" reload:"live" unset:"/load, or /healthz where there are no load reports" doc:"What a probe asks an endpoint for."`
	Timeout time.Duration `key:"time" default:"250ms" min:"1ms" max:"10s" reload:"live" doc:"How long a probe's answer is waited for."`
}

// Discovery is the part [discovery].
type Discovery struct {
	PushWait            time.Duration `key:"push_wait" default:"200ms" min:"0s" max:"1m" reload:"restart" doc:"How long an agent that is pushed the list may wait for news."`
	PushResponseTimeout time.Duration `key:"push_answer" default:"200ms" min:"10ms" max:"1m" reload:"restart" doc:"How long its answer may take beyond that."`
	PollWait            time.Duration `key:"ask_wait" default:"20s" min:"0s" max:"1m" reload:"restart" doc:"How long a discovery service that is asked may wait for news."`
	PollResponseTimeout time.Duration `key:"ask_answer" default:"2s" min:"10ms" max:"1m" reload:"restart" doc:"How long its answer may take beyond that."`
	MinPause            time.Duration `key:"pause" default:"100ms" min:"1ms" max:"150ms" reload:"restart" doc:"The least time between two calls. A watch ends unless the next call comes within 200ms of the last answer."`
}

// Shutdown is the part [shutdown].
type Shutdown struct {
	AcceptGrace    time.Duration `key:"linger" default:"500ms" min:"0s" max:"1m" reload:"live" doc:"How long connections are still accepted after SIGTERM."`
	DeadlineMargin time.Duration `key:"spare" default:"200ms" min:"0s" max:"1m" reload:"live" doc:"The time beyond the longest deadline after which nothing is waited for."`
}

// ResourceLimits is the part [limits].
type ResourceLimits struct {
	Cores     float64 `key:"cores" min:"0.01" max:"1024" reload:"restart" unset:"the platform's, else 1" doc:"How much of the machine's cores the sidecar may use."`
	Memory    Size    `key:"memory" min:"8MiB" max:"1TiB" reload:"restart" unset:"the platform's, else 192MiB" doc:"How much memory it may use."`
	Sockets   int     `key:"sockets" min:"64" max:"1048576" reload:"restart" unset:"the platform's, else 1024" doc:"How many file descriptors it may hold."`
	HeapShare float64 `key:"heap" default:"0.75" min:"0.1" max:"0.95" reload:"restart" doc:"The share of the memory that the Go runtime is held to; the rest is for stacks, files and the program itself."`
}

// Fleet is the part [fleet].
type Fleet struct {
	Zone              string        `key:"zone" kind:"name" reload:"restart" unset:"the platform's, else the first zone" doc:"The server room that the sidecar stands in."`
	Zones             []string      `key:"zones" kind:"name" reload:"restart" doc:"All server rooms."`
	SidecarCount      int           `key:"sidecars" min:"1" max:"1000000" reload:"restart" unset:"the platform's, else 1" doc:"How many sidecars send to the tier: what each may send to a cold endpoint is its part of the whole."`
	SidecarIndex      int           `key:"number" min:"0" max:"1000000" reload:"restart" unset:"the platform's, else 0" doc:"This sidecar's number among them, from 0."`
	DiscoveryMode     string        `key:"list" choices:"push,ask" reload:"restart" unset:"the platform's, else push" doc:"How the list of endpoints comes: an agent on this machine is pushed it, or a service is asked."`
	LoadReporting     string        `key:"reports" choices:"probe,answers,none" reload:"restart" unset:"the platform's, else probe" doc:"How load reports come: in answers to probes, in every answer, or not at all."`
	DrainGrace        time.Duration `key:"drain_grace" min:"1ms" max:"1m" reload:"restart" unset:"the platform's, else 500ms" doc:"Nothing new goes to an endpoint later than this after the sidecar heard that it drains or is gone."`
	ColdCapacityShare float64       `key:"cold_share" min:"0.01" max:"1" reload:"restart" unset:"the platform's, else 0.14" doc:"The share of its capacity that an endpoint surely has as it starts."`
	WarmupTime        time.Duration `key:"cold_time" min:"1ms" max:"1h" reload:"restart" unset:"the platform's, else 22s" doc:"How long after its start an endpoint is at full capacity at the latest."`
	OverloadMultiple  float64       `key:"fall_multiple" min:"1" max:"1000" reload:"restart" unset:"the platform's, else 3" doc:"A cold endpoint that is sent more than this multiple of what it can do falls over..."`
	OverloadTime      time.Duration `key:"fall_time" min:"1ms" max:"1m" reload:"restart" unset:"the platform's, else 2s" doc:"...if that goes on for this long."`
	MaxAttempts       int           `key:"attempts" min:"1" max:"100" reload:"restart" unset:"the platform's, else 6" doc:"The most attempts of any request, whatever its class."`
	Hedging           *bool         `key:"second_copies" reload:"restart" unset:"the platform's, else true" doc:"Whether a request may have two attempts out together."`
	MaxRetryAfter     time.Duration `key:"max_retry_after" min:"1ms" max:"1h" reload:"restart" unset:"the platform's, else 2s" doc:"The longest time to stay away that callers heed."`
}

// Class is a part [class.NAME].
type Class struct {
	TargetLatency  time.Duration `key:"wanted" min:"1ms" max:"1h" reload:"restart" unset:"the platform's; needed without one" doc:"An answer within this time earns its full worth."`
	Deadline       time.Duration `key:"deadline" min:"1ms" max:"1h" reload:"restart" unset:"the platform's; needed without one" doc:"A client's patience across all its tries."`
	Semantics      string        `key:"semantics" choices:"safe,keyed,unsafe" reload:"restart" unset:"the platform's; needed without one" doc:"Whether a request may run more than once: safe may, keyed is dropped as a repeat by its key, unsafe must not."`
	Scope          string        `key:"scope" choices:"all,zone,cell" reload:"restart" unset:"the platform's; needed for keyed without one" doc:"For keyed: which endpoints drop the repeats of a request: all, those in one zone, or those in one cell."`
	RepeatWindow   time.Duration `key:"repeat_window" min:"1ms" max:"24h" reload:"restart" unset:"the platform's; needed for keyed without one" doc:"For keyed: how long they drop them, from when the first attempt was sent."`
	Value          float64       `key:"worth" min:"0.001" max:"1000000" reload:"restart" unset:"the platform's, else 1" doc:"What an answer is worth beside those of other classes."`
	LateValueShare *float64      `key:"late_worth" min:"0" max:"1" reload:"restart" unset:"the platform's, else 0" doc:"The share of its worth that an answer still has after the wanted time, up to the deadline. With 0 a request is given up on, and answered, once the wanted time is over."`
	MaxAttempts    int           `key:"attempts" min:"1" max:"100" reload:"live" unset:"as many as any request may have" doc:"The most attempts of a request, those that never ran included."`
	MaxRetries     *int          `key:"retries" min:"0" max:"99" reload:"live" unset:"attempts less one; 0 for unsafe" doc:"How often it is sent again after an attempt that may have run."`
	Hedging        *bool         `key:"second_copies" reload:"live" unset:"as for any request; false for unsafe" doc:"Whether a second copy may be sent while the first is out."`
	RetryWithin    time.Duration `key:"retry_within" min:"1ms" max:"1h" reload:"live" unset:"for as long as an answer is worth anything" doc:"A further attempt begins no later than this after the request came."`
}
