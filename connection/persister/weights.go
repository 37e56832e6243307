package persister

import (
	"context"
	"net/http"
	"net/url"

	"hemlockpin/connection/decoder"

	"github.com/rotisserie/eris"
)

// Weights describes the stored weights of one version of a model.
type Weights struct {
	Model   string
	Version string
	Bytes   int64
}

// currentVersion is the name under which the store serves the current version.
const currentVersion = "current"

// Weights reads the description of a model's weights, which the weight store counts as
// one read of the weights; an empty version selects the current version. The store
// limits the rate of reads and refuses further reads with ErrRateLimited.
func (per *Persister) Weights(ctx context.Context, model, version string) (Weights, error) {
	var wei Weights
	if version == "" {
		version = currentVersion
	}
	res, err := per.do(ctx, http.MethodGet, "/v1/weights/"+url.PathEscape(model)+"/"+url.PathEscape(version), nil, nil)
	if err != nil {
		return wei, eris.Wrapf(err, "Persister.Weights: %s version %s from platform %s", model, version, per.BaseURL)
	}
	err = decoder.Unmarshal(res.body, &wei)
	return wei, eris.Wrapf(err, "Persister.Weights: decode answer of platform %s", per.BaseURL)
}
