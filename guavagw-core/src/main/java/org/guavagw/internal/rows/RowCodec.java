package org.guavagw.internal.rows;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes records as MessagePack for rows and objects, and decodes them. Unknown fields, which
 * newer writers may add, are ignored. Immutable and thread-safe.
 */
public final class RowCodec<T> {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .registerModules(new Jdk8Module(), new JavaTimeModule())
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private final ObjectWriter writer;
  private final ObjectReader reader;

  private RowCodec(Class<T> type) {
    writer = MAPPER.writerFor(type);
    reader = MAPPER.readerFor(type);
  }

  /** Returns a codec for values of one type. */
  public static <T> RowCodec<T> of(Class<T> type) {
    return new RowCodec<>(type);
  }

  /** Encodes a value. */
  public byte[] encode(T value) {
    try {
      return writer.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Decodes a value. */
  public T decode(byte[] bytes) {
    try {
      return reader.readValue(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
