package fold

import (
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// maxRecentPublications is how many accepted publications a Config remembers by id, so that a publisher that lost the
// answer to its append and repeats it after other publications still learns that it was accepted.
const maxRecentPublications = 64

// Publication is one accepted version of the tables.
type Publication struct {
	Version uint64 // number of the Publish record
	ID      string
	Routes  []byte
	Pools   []byte
}

// Config is the state of the config stream: the tables in force. The zero value is the state before the first record.
// It is not safe for concurrent use.
type Config struct {
	cursor
	Publication
	recentAccepted []acceptedPublication
}

type acceptedPublication struct {
	id      string
	version uint64
}

// Apply applies the record at offset. valid checks the tables and must give the same answer in every instance.
// Records at or below the last offset applied are ignored.
func (c *Config) Apply(offset uint64, rec *record.Record, valid func(routes, pools []byte) error) Outcome {
	if !c.advance(offset) {
		return Seen
	}
	switch kind := rec.GetKind().(type) {
	case *record.Record_Publish:
		return c.applyPublish(c.Number(offset), kind.Publish, valid)
	case *record.Record_Era:
		return c.beginEra(kind.Era)
	case *record.Record_Snapshot:
		return Ignored
	default:
		return Ignored
	}
}

func (c *Config) applyPublish(version uint64, p *record.Publish, valid func(routes, pools []byte) error) Outcome {
	if _, ok := c.AcceptedVersion(p.GetId()); ok {
		return Seen
	}
	if p.GetBase() != c.Version {
		return Stale
	}
	if p.GetId() == "" || valid != nil && valid(p.GetRoutes(), p.GetPools()) != nil {
		return Invalid
	}
	c.Publication = Publication{Version: version, ID: p.GetId(), Routes: p.GetRoutes(), Pools: p.GetPools()}
	c.addRecent(p.GetId(), version)
	return Applied
}

func (c *Config) addRecent(id string, version uint64) {
	c.recentAccepted = append(c.recentAccepted, acceptedPublication{id: id, version: version})
	if n := len(c.recentAccepted) - maxRecentPublications; n > 0 {
		c.recentAccepted = append([]acceptedPublication(nil), c.recentAccepted[n:]...)
	}
}

// AcceptedVersion returns the version of the recently accepted publication with this id.
func (c *Config) AcceptedVersion(id string) (version uint64, ok bool) {
	for _, a := range c.recentAccepted {
		if a.id == id {
			return a.version, true
		}
	}
	return 0, false
}

// State returns the state for a snapshot.
func (c *Config) State() *record.Config {
	s := &record.Config{Version: c.Version, Id: c.ID, Routes: c.Routes, Pools: c.Pools, Era: c.era}
	for _, a := range c.recentAccepted {
		s.Recent = append(s.Recent, a.id)
		s.Versions = append(s.Versions, a.version)
	}
	return s
}

// Restore replaces the state by s, the state after the record at asof. It reports false, and changes nothing, if later
// records were already applied, if s is nil or damaged, or if its version is lower than the present one.
func (c *Config) Restore(asof uint64, s *record.Config) bool {
	if s == nil || s.GetVersion() < c.Version || !c.restoreCursor(asof, s.GetEra(), s.GetVersion()) {
		return false
	}
	c.Publication = Publication{Version: s.GetVersion(), ID: s.GetId(), Routes: s.GetRoutes(), Pools: s.GetPools()}
	c.recentAccepted = c.recentAccepted[:0]
	for i, id := range s.GetRecent() {
		if i < len(s.GetVersions()) {
			c.addRecent(id, s.GetVersions()[i])
		}
	}
	return true
}
