package org.guavagw.internal.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Writes records as MessagePack arrays, without field names. Records of one protocol version must
 * therefore agree in the order of their components. Thread-safe.
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

  /** Reads what {@link #encode} wrote. */
  public <T> T decode(byte[] content, Class<T> type) {
    try {
      return mapper.readValue(content, type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
