package org.guavagw.internal.service;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.guavagw.internal.engine.BackendAddress;
import org.guavagw.internal.engine.ConnectionPools;
import org.guavagw.internal.engine.EngineFailure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reads answers of a service that are cut off, have an invalid head or end with a connection. */
class HttpServiceClientTest {
  private static final Duration TIME_LEFT = Duration.ofSeconds(5);

  /** Long enough for what was sent before to be read. */
  private static final Duration PAUSE = Duration.ofMillis(20);

  private static final String LENGTH = "Content-Length: 5\r\n\r\nwhole";

  private final ExecutorService thread = Executors.newSingleThreadExecutor();
  private final ConnectionPools pools = new ConnectionPools(TIME_LEFT);
  private final HttpServiceClient client = new HttpServiceClient(pools);
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    pools.close();
    server.close();
    thread.shutdownNow();
  }

  @ParameterizedTest
  @CsvSource({"1024, true", "1024, false", "16777216, true", "16777216, false"})
  void shouldNotTakeThePartBeforeAResetForTheWholeAnswer(int uploadBytes, boolean repeatable) {
    answerOnce("HTTP/1.1 200 OK\r\n\r\npart", true);

    assertThat(call(uploadBytes, repeatable).isLeft()).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"1024, true", "1024, false", "16777216, true", "16777216, false"})
  void shouldReadAnAnswerThatEndsWithItsConnection(int uploadBytes, boolean repeatable) {
    answerOnce("HTTP/1.1 200 OK\r\n\r\nwhole", false);

    assertThat(call(uploadBytes, repeatable).get().body()).asString(ISO_8859_1).isEqualTo("whole");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK\r\n",
        "HTTP/1.1 000\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n",
        "HTTP/1.1 099 X\r\n",
        "HTTP/1.1 600 X\r\n"
      })
  void shouldNotReadAnAnswerWithAnInvalidStatus(String head) {
    answerOnce(head + LENGTH, false);

    assertThat(call(0, true).isLeft()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X A: b",
        "X-A : b",
        "X-\u0000A: b",
        "X-A\u0001: b",
        "\u007fX-A: b",
        " X-A: b",
        ": b",
        "Content-Length : 3",
        "Transfer-Encoding : chunked"
      })
  void shouldNotReadAnAnswerWithAnInvalidFieldName(String line) {
    answerOnce("HTTP/1.1 200 OK\r\n" + line + "\r\n" + LENGTH, false);

    assertThat(call(0, true).isLeft()).isTrue();
  }

  private Either<EngineFailure, ServiceAnswer> call(int uploadBytes, boolean repeatable) {
    return client.call(
        new BackendAddress("b1", "127.0.0.1", server.getLocalPort()),
        "r1",
        new ServiceCall("s", "POST", "/x", List.of(), new byte[uploadBytes]),
        repeatable,
        TIME_LEFT);
  }

  /** Answers once the head of a request has been read, and then ends or resets the connection. */
  private void answerOnce(String answer, boolean reset) {
    thread.execute(
        () -> {
          try (Socket connection = server.accept()) {
            readHead(connection.getInputStream());
            connection.getOutputStream().write(answer.getBytes(ISO_8859_1));
            if (reset) {
              Uninterruptibles.sleepUninterruptibly(PAUSE);
              connection.setSoLinger(true, 0);
            } else {
              connection.shutdownOutput();
              connection.getInputStream().transferTo(OutputStream.nullOutputStream());
            }
          } catch (IOException e) {
            // The client has closed the connection.
            return;
          }
        });
  }

  private static void readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.read());
    }
  }
}
