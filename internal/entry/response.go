package entry

import "sesamehill.example/sesamehill/internal/target"

// chunkEvent is one event of a streamed response.
type chunkEvent struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []*chunkChoice `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

func newChunkEvent(run string, chat bool, model string) chunkEvent {
	event := chunkEvent{ID: responseID(run, chat), Object: "text_completion", Created: unixNow(), Model: model}
	if chat {
		event.Object = "chat.completion.chunk"
	}
	return event
}

// completionResponse is the body of a non-streamed response.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *usage           `json:"usage"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newCompletionResponse(run string, chat bool, model, text string, last target.Chunk) completionResponse {
	response := completionResponse{
		ID: responseID(run, chat), Object: "text_completion", Created: unixNow(), Model: model, Usage: newUsage(last.Usage),
	}
	choice := responseChoice{FinishReason: finishReason(last.Reason)}
	if chat {
		response.Object = "chat.completion"
		choice.Message = &responseMessage{Role: assistantRole, Content: text}
	} else {
		choice.Text = &text
	}
	response.Choices = []responseChoice{choice}
	return response
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(u *target.RunUsage) *usage {
	if u == nil {
		return nil
	}
	return &usage{
		PromptTokens: u.Prompt, CompletionTokens: u.GeneratedTokens, TotalTokens: u.Prompt + u.GeneratedTokens,
		PromptDetails: promptDetails{CachedTokens: u.CachedTokens},
	}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelItem(name string) modelItem {
	return modelItem{ID: name, Object: "model", OwnedBy: "sesamehill"}
}

// responseID returns the ID of a response in the format of the OpenAI API.
func responseID(run string, chat bool) string {
	if chat {
		return "chatcmpl-" + run
	}
	return "cmpl-" + run
}

// finishReason returns the reason that the engine stated, or "stop" as the default.
func finishReason(reason string) string {
	if reason == "" {
		return "stop"
	}
	return reason
}
