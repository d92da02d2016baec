package org.guavagw.internal.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Serializes records as MessagePack arrays without field names and enum constants by ordinal. Both
 * ends must therefore agree on the order of record components and enum constants. Thread-safe.
 */
public final class PeerCodec {
  private final ObjectMapper mapper =
      new MessagePackMapper()
          .setAnnotationIntrospector(new JsonArrayFormat())
          .configure(SerializationFeature.WRITE_ENUMS_USING_INDEX, true);

  /** Serializes a record. */
  public byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Deserializes a record that {@link #encode} serialized. */
  public <T> T decode(byte[] content, Class<T> type) {
    try {
      return mapper.readValue(content, type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
