package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// State is the lifecycle state of an instance.
type State string

// States of an instance.
const (
	Live     State = "live"
	Draining State = "leaving"
)

// Roles of an instance.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Instance is one item of the platform's eventually consistent list of instances.
type Instance struct {
	name       string
	role       string
	dataCentre string
	address    string
	upstream   string
	service    string
	state      State
}

// NewInstance returns a live instance without an upstream.
func NewInstance(name, role, dataCentre, address string) Instance {
	return Instance{name: name, role: role, dataCentre: dataCentre, address: address, state: Live}
}

// WithUpstream returns the instance with its upstream's address and service.
func (i Instance) WithUpstream(address, service string) Instance {
	i.upstream = address
	i.service = service
	return i
}

// WithState returns the instance with the given state.
func (i Instance) WithState(s State) Instance {
	i.state = s
	return i
}

// Name returns the instance's name.
func (i Instance) Name() string { return i.name }

// Role returns RoleEntry or RoleAgent.
func (i Instance) Role() string { return i.role }

// DataCentre returns the name of the instance's data centre.
func (i Instance) DataCentre() string { return i.dataCentre }

// Address returns the address at which other processes reach the instance.
func (i Instance) Address() string { return i.address }

// Upstream returns the address of an agent's upstream.
func (i Instance) Upstream() string { return i.upstream }

// Service returns the service of an agent's upstream.
func (i Instance) Service() string { return i.service }

// State returns the instance's lifecycle state.
func (i Instance) State() State { return i.state }

// instanceBody is the JSON encoding of an instance.
type instanceBody struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	State      State  `json:"state"`
}

// MarshalJSON encodes the instance in the format of the platform and the relays.
func (i Instance) MarshalJSON() ([]byte, error) {
	return json.Marshal(instanceBody{i.name, i.role, i.dataCentre, i.address, i.upstream, i.service, i.state})
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (i *Instance) UnmarshalJSON(raw []byte) error {
	var b instanceBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return err
	}
	*i = Instance{b.Name, b.Role, b.DataCentre, b.Address, b.Upstream, b.Service, b.State}
	return nil
}

// Instances returns the list of instances, which may lag behind registrations.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.reads.Add(1)
	resp, err := c.call(ctx, http.MethodGet, "/instances", nil, nil)
	if err != nil {
		return nil, err
	}
	var list []Instance
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, fmt.Errorf("decode instances: %w: %w", ErrUnexpectedResponse, err)
	}
	return list, nil
}

// Register adds an instance to the list or replaces its item.
func (c *Client) Register(ctx context.Context, i Instance) error {
	c.writes.Add(1)
	body, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	_, err = c.call(ctx, http.MethodPut, "/instances/"+url.PathEscape(i.name), nil, body)
	return err
}

// Deregister removes an instance from the list.
func (c *Client) Deregister(ctx context.Context, name string) error {
	c.writes.Add(1)
	_, err := c.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(name), nil, nil)
	return err
}
