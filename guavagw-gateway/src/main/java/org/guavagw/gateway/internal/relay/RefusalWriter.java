package org.guavagw.gateway.internal.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Locale;
import org.guavagw.Refusal;
import org.guavagw.internal.errors.RefusalMessages;

/** Writes refusals, the answers that the gateway generates itself. Stateless. */
final class RefusalWriter {
  private static final JsonFactory JSON = new JsonFactory();
  private static final double MILLIS_PER_SECOND = 1000;

  private RefusalWriter() {}

  /** Sends a refusal to the caller as a JSON object. */
  static void write(AnswerSink sink, Refusal refusal) {
    HttpHeaders headers =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    refusal
        .retryAfter()
        .ifPresent(delay -> headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(delay)));
    sink.send(
        refusal.code().httpStatus(),
        headers,
        ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, toJson(refusal)));
  }

  /** Sends a refusal, or breaks off the answer if it has started. */
  static void writeOrAbort(AnswerSink sink, Refusal refusal, boolean answerStarted) {
    if (answerStarted) {
      sink.abort();
    } else {
      write(sink, refusal);
    }
  }

  private static String formatSeconds(Duration delay) {
    return String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLIS_PER_SECOND);
  }

  private static String toJson(Refusal refusal) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("code", refusal.code().wireName());
      json.writeStringField("run_state", refusal.runState().wireName());
      json.writeStringField("message", RefusalMessages.compose(refusal));
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }
}
