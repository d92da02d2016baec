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
 * Turns records into MessagePack values of rows and objects, and back. Fields that a newer writer
 * added are ignored. Immutable and thread-safe.
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

  /** A codec for values of one type. */
  public static <T> RowCodec<T> of(Class<T> type) {
    return new RowCodec<>(type);
  }

  /** The stored form of a value. */
  public byte[] encode(T value) {
    try {
      return writer.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The value of a stored form. */
  public T decode(byte[] bytes) {
    try {
      return reader.readValue(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
