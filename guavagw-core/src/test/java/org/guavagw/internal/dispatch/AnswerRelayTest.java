package org.guavagw.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.guavagw.RunState;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.chat.AnswerMetadata;
import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.engine.BackendAddress;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.EngineClient;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.EngineFailure.Kind;
import org.guavagw.internal.engine.EngineRequest;
import org.guavagw.internal.engine.EngineStatus;
import org.guavagw.internal.engine.EngineStream;
import org.guavagw.internal.engine.TokenUsage;
import org.guavagw.internal.placement.BackendViews;
import org.junit.jupiter.api.Test;

class AnswerRelayTest {
  private static final EngineChunk CHUNK =
      new EngineChunk(new byte[] {1}, TokenUsage.UNKNOWN, false, false);
  private static final EngineChunk LAST =
      new EngineChunk(new byte[] {2}, TokenUsage.UNKNOWN, true, false);
  private static final EngineChunk END =
      new EngineChunk(new byte[0], TokenUsage.UNKNOWN, false, true);

  private final ScriptedEngine engine = new ScriptedEngine();
  private final CountingSink sink = new CountingSink();

  @Test
  void shouldResumeAnInterruptedStreamAfterTheChunksReceived() {
    engine.opens(CHUNK, CHUNK);
    engine.opens(LAST, END);

    RelayReport report = relay(true);

    assertThat(report.failure()).isEmpty();
    assertThat(sink.written).isEqualTo(3);
    assertThat(engine.lastOffset).isEqualTo(2);
  }

  @Test
  void shouldNotReportARequestAsNotRunWhenItsResumptionWasRefused() {
    engine.opens(CHUNK);
    engine.refuses(Kind.NOT_SENT);
    engine.refuses(Kind.REFUSED);

    RelayReport report = relay(true);

    assertThat(report.failure().orElseThrow().runState()).isEqualTo(RunState.UNKNOWN);
  }

  @Test
  void shouldNotResumeIfTheBackendServerDoesNotSupportIt() {
    engine.opens(CHUNK);
    engine.opens(LAST, END);

    RelayReport report = relay(false);

    assertThat(report.failure().orElseThrow().kind()).isEqualTo(Kind.BROKEN);
    assertThat(sink.ended).isFalse();
  }

  @Test
  void shouldNotPassOnAnyChunkIfTheAnswerMayNotStart() {
    engine.opens(CHUNK, LAST, END);
    AnswerRelay relay = newRelay();

    relay.relay(new AnswerRelay.Job(server(true), request(), metadata(), sink, () -> false));

    assertThat(sink.written).isZero();
    assertThat(sink.begun).isFalse();
  }

  private RelayReport relay(boolean resumes) {
    return newRelay()
        .relay(new AnswerRelay.Job(server(resumes), request(), metadata(), sink, () -> true));
  }

  private AnswerRelay newRelay() {
    Ticker ticker = Ticker.systemTicker();
    return new AnswerRelay(engine, ticker, new BackendViews(ticker));
  }

  private static EngineRequest request() {
    return new EngineRequest("r1", new byte[0], Duration.ofSeconds(5), 0);
  }

  private static AnswerMetadata metadata() {
    return new AnswerMetadata("r1", new VersionRef("small", "v1"), "engine", 1, false);
  }

  private static BackendServerConfig server(boolean resumes) {
    return new BackendServerConfig(
        "engine", "dc", "127.0.0.1", 1, List.of(), 16, 2, false, resumes, false);
  }

  private static final class ScriptedEngine implements EngineClient {
    private final Deque<Either<EngineFailure, EngineStream>> answers = new ArrayDeque<>();
    private int lastOffset;

    void opens(EngineChunk... chunks) {
      answers.add(Either.right(new ScriptedStream(new ArrayDeque<>(List.of(chunks)))));
    }

    void refuses(Kind kind) {
      answers.add(Either.left(new EngineFailure(kind, "scripted")));
    }

    @Override
    public Either<EngineFailure, EngineStream> open(BackendAddress address, EngineRequest request) {
      lastOffset = request.resumeOffset();
      return answers.remove();
    }

    @Override
    public void close() {}
  }

  private record ScriptedStream(Deque<EngineChunk> chunks) implements EngineStream {
    @Override
    public EngineStatus engineStatus() {
      return new EngineStatus("boot", false, 1, 0, 16);
    }

    @Override
    public Either<EngineFailure, EngineChunk> next() {
      return chunks.isEmpty()
          ? Either.left(new EngineFailure(Kind.BROKEN, "scripted cut"))
          : Either.right(chunks.remove());
    }

    @Override
    public void cancel() {}

    @Override
    public void close() {}
  }

  private static final class CountingSink implements AnswerSink {
    private int written;
    private boolean begun;
    private boolean ended;

    @Override
    public void begin(AnswerMetadata metadata) {
      begun = true;
    }

    @Override
    public void write(EngineChunk chunk) {
      written++;
    }

    @Override
    public void end(TokenUsage usage) {
      ended = true;
    }

    @Override
    public boolean hasBegun() {
      return begun;
    }

    @Override
    public boolean isCallerDisconnected() {
      return false;
    }
  }
}
