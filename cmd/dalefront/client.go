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
	maxRetries    = 60 // at one retry per retryInterval, half a minute in total

	maxResponseBytes = 16 << 20
)

// addServerFlag adds the flag --server to a command.
func addServerFlag(cmd *cobra.Command, server *string) {
	cmd.Flags().StringVar(server, "server", defaultServer, "address of a controller or of the load balancer")
}

// request sends an HTTP request to a controller and decodes the body of the response into response. An error
// that has its own exit code is returned as an exitError. If no controller could serve the request, the
// error message says what to do next.
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
	responseBody, err := readAtMost(httpResponse.Body, maxResponseBytes)
	if err != nil {
		return &exitError{exitUnavailable, err}
	}
	if httpResponse.StatusCode < http.StatusMultipleChoices {
		return wire.Unmarshal(responseBody, response)
	}
	return responseError(httpResponse, responseBody)
}

// readAtMost reads everything. The error names the limit if there is more.
func readAtMost(reader io.Reader, maxBytes int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(reader, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		return nil, fmt.Errorf("larger than %d bytes", maxBytes)
	}
	return content, err
}

// responseError returns the error for a response whose status is not a success.
func responseError(response *http.Response, body []byte) error {
	var errorResponse wire.Error
	_ = wire.Unmarshal(body, &errorResponse) // if the body can't be decoded, the status alone is reported
	err := fmt.Errorf("%s: %s", response.Status, errorResponse.Error)
	switch response.StatusCode {
	case http.StatusNotFound:
		return &exitError{exitNotFound, err}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return &exitError{exitUnavailable, fmt.Errorf("%w; try again", err)}
	}
	return err
}

// retryWhileUnavailable repeats a call that fails with exitUnavailable. It gives up after maxRetries, whose
// delays add up to half a minute, and returns the error of the last call.
func retryWhileUnavailable(call func() error) error {
	for retries := 0; ; retries++ {
		err := call()
		if retries == maxRetries || !isUnavailable(err) {
			return err
		}
		time.Sleep(retryInterval)
	}
}
