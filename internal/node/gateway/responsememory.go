package gateway

import "io"

// responseMemoryShare is the part of the memory for request bodies up to which responses may be buffered beside them.
const responseMemoryShare = 0.5

// maxResponseMemory returns how many bytes the buffered responses may take up, 0 for no limit.
func (o Options) maxResponseMemory() int64 {
	return int64(responseMemoryShare * float64(o.MaxBodyMemory()))
}

// bufferResponse takes the body of a response off the upstream, so that a caller that reads slowly neither keeps the upstream
// waiting nor gets it to cut the response. It returns false, and what was read, if the body is longer than
// maxBufferedBodyBytes, or if the responses that wait for their callers take up all the memory that they may: the rest is then
// to be read at the caller's pace.
func (c *call) bufferResponse(a *attempt) (body []byte, isWhole bool, err error) {
	c.gateway.responses.release(c.responseBytes) // of an attempt whose response was not used
	c.responseBytes = 0
	length := a.exchange.Response.ContentLength
	if length > maxBufferedBodyBytes {
		return nil, false, nil
	}
	size := int64(smallBodyBytes)
	if length >= 0 {
		size = min(length+1, size)
	}
	body = make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if len(body) > maxBufferedBodyBytes {
				return body, false, nil
			}
			size := min(2*int64(cap(body)), maxBufferedBodyBytes+1)
			if !c.gateway.responses.reserve(size - c.responseBytes) {
				return body, false, nil
			}
			c.responseBytes = size
			body = append(make([]byte, 0, size), body...)
		}
		n, err := a.exchange.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, len(body) <= maxBufferedBodyBytes, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}
