package server

import (
	"encoding/json"
	"net/http"

	"amaranthmill/internal/identifier"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      identifier.Service `json:"id"`
	Object  string             `json:"object"`
	OwnedBy string             `json:"owned_by"`
}

// listModels lists the models that the client account may use.
func (s *Server) listModels(w http.ResponseWriter, _ *http.Request, c caller) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range c.index.bundle.Models {
		if c.mayUse(m.Name) {
			list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: "amaranthmill"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // an error means that the caller closed the connection
}
