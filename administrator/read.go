package administrator

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
)

func (h *handler) getRollout(ctx context.Context, _ request) (int, any, error) {
	instances, err := h.cfg.Fleet.Instances(ctx)
	if err != nil {
		return 0, nil, err
	}
	sortBy(instances, func(i InstanceStatus) string { return string(i.Instance) })
	rollout := Rollout{Instances: instances}
	if d := h.cfg.Store.CurrentDocument(); d != nil {
		rollout.InForce, rollout.Digest = d.Bundle.Version, d.Digest.String()
	}
	for _, i := range instances {
		if i.BundleVersion < rollout.InForce {
			rollout.Behind++
		}
	}
	return http.StatusOK, rollout, nil
}

func (h *handler) getFleetStatus(ctx context.Context, _ request) (int, any, error) {
	instances, err := h.cfg.Fleet.Instances(ctx)
	if err != nil {
		return 0, nil, err
	}
	endpoints, err := h.cfg.Fleet.Endpoints(ctx)
	if err != nil {
		return 0, nil, err
	}
	sortBy(instances, func(i InstanceStatus) string { return string(i.Instance) })
	sortBy(endpoints, func(e EndpointStatus) string { return string(e.Endpoint) })
	return http.StatusOK, FleetStatus{Instances: instances, Endpoints: endpoints}, nil
}

func (h *handler) getGroups(ctx context.Context, _ request) (int, any, error) {
	groups, err := h.cfg.Fleet.Groups(ctx)
	if err != nil {
		return 0, nil, err
	}
	sortBy(groups, func(g GroupStatus) string { return string(g.Group) })
	return http.StatusOK, GroupList{Groups: groups}, nil
}

func (h *handler) getLastAuditPage(ctx context.Context, _ request) (int, any, error) {
	p, err := h.cfg.Trail.Last(ctx)
	return http.StatusOK, p, err
}

func (h *handler) getAuditPage(ctx context.Context, r request) (int, any, error) {
	number, err := strconv.ParseUint(r.PathValue("page"), 10, 64)
	if err != nil || number == 0 {
		return 0, nil, &Problem{Status: http.StatusBadRequest, Reason: "badPage", Detail: fmt.Sprintf("%q is no page; want a number from 1", r.PathValue("page"))}
	}
	p, err := h.cfg.Trail.Page(ctx, number)
	if isNotFound(err) {
		return 0, nil, &Problem{Status: http.StatusNotFound, Reason: "noPage", Detail: fmt.Sprintf("the audit trail has no page %d", number)}
	}
	return http.StatusOK, p, err
}

func sortBy[T any](items []T, key func(T) string) {
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
