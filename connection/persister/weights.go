package persister

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// Weights describes the weights of one version of a model.
type Weights struct {
	Model   string
	Version string
	Bytes   int64
}

// currentVersion names the version that the store gives when none is asked for.
const currentVersion = "current"

// Weights asks the weight store for one read of a model's weights; an empty
// version stands for the current one. The store grants reads at a rate and
// refuses the rest with ErrRateLimited.
func (per *Persister) Weights(ctx context.Context, model, version string) (Weights, error) {
	var wei Weights
	if version == "" {
		version = currentVersion
	}
	res, err := per.do(ctx, http.MethodGet, "/v1/weights/"+url.PathEscape(model)+"/"+url.PathEscape(version), nil, nil)
	if err != nil {
		return wei, eris.Wrapf(err, "Persister.Weights: %s version %s from platform %s", model, version, per.BaseURL)
	}
	err = json.Unmarshal(res.body, &wei)
	return wei, eris.Wrapf(err, "Persister.Weights: decode answer of platform %s", per.BaseURL)
}
