package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"dalefront/wire"
)

const (
	defaultServer  = "http://127.0.0.1:8080"
	requestTimeout = 10 * time.Second

	retryInterval = 500 * time.Millisecond
	maxRetries    = 60 // half a minute
)

// addServerFlag adds --server, which commands of users have.
func addServerFlag(cmd *cobra.Command, server *string) {
	cmd.Flags().StringVar(server, "server", defaultServer, "address of a controller or of the load balancer")
}

// request asks a controller and reads its answer into response. Its error is one line that says
// what to do next, with the exit code.
func request(method, address string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	httpResponse, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return &exitError{exitUnavailable, fmt.Errorf("%w: is a controller running there (--server)?", err)}
	}
	defer httpResponse.Body.Close()
	answer, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return &exitError{exitUnavailable, err}
	}
	if httpResponse.StatusCode < http.StatusMultipleChoices {
		return wire.Unmarshal(answer, response)
	}
	return refusal(httpResponse, answer)
}

// refusal is the error of a response that is not a success.
func refusal(response *http.Response, body []byte) error {
	var reason wire.Error
	_ = wire.Unmarshal(body, &reason) // without a reason, the status says enough
	err := fmt.Errorf("%s: %s", response.Status, reason.Error)
	switch response.StatusCode {
	case http.StatusNotFound:
		return &exitError{exitNotFound, err}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return &exitError{exitUnavailable, fmt.Errorf("%w; try again", err)}
	}
	return err
}

// retryWhileUnavailable repeats for half a minute what nobody can answer now.
func retryWhileUnavailable(call func() error) error {
	for retries := 0; ; retries++ {
		err := call()
		if retries == maxRetries || !isUnavailable(err) {
			return err
		}
		time.Sleep(retryInterval)
	}
}
