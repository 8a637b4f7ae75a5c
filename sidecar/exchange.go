package sidecar

// Transport is a stream of either variant of xDS.
type Transport[Request, Response any] interface {
	Send(Request) error
	Recv() (Response, error)
}

// Exchange sends the first requests and then answers each response until the stream ends; it returns the reason. Begun, if
// it is not nil, is called once the first requests were sent. Handle returns the requests that answer a response, an ACK or a
// NACK; beforeAnswer is called in either case before they are sent.
func Exchange[Request, Response any](stream Transport[Request, Response], first []Request, begun func(),
	handle func(Response) ([]Request, error), beforeAnswer func()) error {
	if err := sendAll(stream, first); err != nil {
		return err
	}
	if begun != nil {
		begun()
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		requests, err := handle(response)
		if err != nil {
			return err
		}
		beforeAnswer()
		if err := sendAll(stream, requests); err != nil {
			return err
		}
	}
}

func sendAll[Request, Response any](stream Transport[Request, Response], requests []Request) error {
	for _, request := range requests {
		if err := stream.Send(request); err != nil {
			return err
		}
	}
	return nil
}
