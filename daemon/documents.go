package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/document/inifile"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// HeaderVersion carries the object version of a document.
const HeaderVersion = "X-Version"

// DocumentInfo is an entry in the response of GET /v1/documents and the response of
// PUT /v1/documents/{service}.
type DocumentInfo struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	Version int64  `json:"version"`
}

func newDocumentInfo(v document.VersionedDocument) DocumentInfo {
	return DocumentInfo{Service: v.Document.Service, Team: v.Document.Team, Version: v.Version}
}

func (d *Daemon) listDocuments(w http.ResponseWriter, _ *http.Request) {
	all := d.modules.Documents.All()
	infos := make([]DocumentInfo, 0, len(all))
	for _, v := range all {
		infos = append(infos, newDocumentInfo(v))
	}
	writeJSON(w, http.StatusOK, infos)
}

func (d *Daemon) getDocument(w http.ResponseWriter, r *http.Request) {
	found, err := d.modules.Admin.Get(r.Context(), chi.URLParam(r, "service"))
	if err != nil {
		fault.WriteHTTP(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set(HeaderVersion, strconv.FormatInt(found.Version, 10))
	_, _ = w.Write(found.Source)
}

func (d *Daemon) putDocument(w http.ResponseWriter, r *http.Request) {
	applied, err := d.apply(r)
	if err != nil {
		d.log.Log(event.DaemonDocumentRefused, event.F("service", chi.URLParam(r, "service")), event.Err(err))
		fault.WriteHTTP(w, err)
		return
	}
	w.Header().Set(HeaderVersion, strconv.FormatInt(applied.Version, 10))
	writeJSON(w, http.StatusOK, newDocumentInfo(applied))
}

func (d *Daemon) apply(r *http.Request) (document.VersionedDocument, error) {
	service := chi.URLParam(r, "service")
	version, err := parseIfMatch(r)
	if err != nil {
		return document.VersionedDocument{}, err
	}
	source, err := io.ReadAll(io.LimitReader(r.Body, inifile.MaxBytes+1))
	if err != nil {
		return document.VersionedDocument{}, invalidRequest("cannot read the request body: "+err.Error(), "send the document again")
	}
	parsed, err := document.Parse(service+".ini", source)
	if err != nil {
		return document.VersionedDocument{}, err
	}
	if parsed.Service != service {
		message := fmt.Sprintf("the document names service %q, the path %q", parsed.Service, service)
		return document.VersionedDocument{}, invalidRequest(message, "use the same name in both")
	}
	return d.modules.Admin.Apply(r.Context(), source, version)
}

func parseIfMatch(r *http.Request) (int64, error) {
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0, invalidRequest("header If-Match has no version", "send If-Match with the version that was read, 0 for a new document")
	}
	return version, nil
}

func invalidRequest(message, remedy string) error {
	return fault.New(fault.Invalid, message, remedy, fault.WithOutcome(fault.NotRun))
}
