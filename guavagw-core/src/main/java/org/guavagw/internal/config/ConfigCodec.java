package org.guavagw.internal.config;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Encodes configurations and records of their history as compressed JSON. Thread-safe. */
public final class ConfigCodec {
  private final ObjectMapper mapper = JsonMapper.builder().build();

  /** Serializes and compresses a value. */
  public byte[] encode(Object value) {
    var out = new ByteArrayOutputStream();
    try (var gzip = new GZIPOutputStream(out)) {
      mapper.writeValue(gzip, value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /** Decompresses and deserializes content written by {@link #encode}. */
  public <T> T decode(byte[] content, Class<T> type) {
    try (var gzip = new GZIPInputStream(new ByteArrayInputStream(content))) {
      return mapper.readValue(gzip, type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
