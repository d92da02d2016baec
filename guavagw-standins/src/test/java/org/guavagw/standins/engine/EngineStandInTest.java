package org.guavagw.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.guavagw.config.VersionRef;
import org.guavagw.standins.engine.EngineClient.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineStandInTest {
  private static final VersionRef VERSION = VersionRef.parse(EngineClient.MODEL);

  private final EngineStandIn engine = new EngineStandIn(EngineSettings.fast("e1", VERSION));
  private final EngineClient client = new EngineClient(engine.port());

  @AfterEach
  void close() {
    engine.close();
  }

  @Test
  void shouldAnswerWithoutStreaming() {
    Reply reply = client.send(client.chat("r1", false, 8));

    String text = EngineClient.json(reply.body()).at("/choices/0/message/content").asText();
    assertThat(AnswerText.isComplete("r1", EngineClient.PROMPT, 8, text)).isTrue();
    assertThat(reply.header("x-request-id")).isEqualTo("r1");
    assertThat(engine.log().executions())
        .singleElement()
        .returns(Outcome.FINISHED, Execution::outcome);
  }

  @Test
  void shouldStreamTheCompleteAnswerWithUsageAndEndMarker() {
    Reply reply = client.send(client.chat("r1", true, 8));

    assertThat(AnswerText.isComplete("r1", EngineClient.PROMPT, 8, reply.streamedText())).isTrue();
    assertThat(reply.body())
        .contains("id: 8\n")
        .contains("\"finish_reason\":\"stop\"")
        .contains("\"completion_tokens\":8")
        .endsWith("data: [DONE]\n\n");
  }
}
