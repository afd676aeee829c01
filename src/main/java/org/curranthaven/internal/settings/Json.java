package org.curranthaven.internal.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON mappers of the project, with helpers for the system's own data. Thread-safe. */
public final class Json {
  /**
   * Strict mapper for the system's own data and for operators' files: rejects unknown and duplicate
   * members and trailing text, and allows comments and trailing commas.
   */
  public static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
          .build();

  /** Lenient mapper for documents of callers and backend servers; ignores unknown members. */
  public static final JsonMapper LENIENT =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Json() {}

  /**
   * Reads data that the system itself wrote.
   *
   * @throws UncheckedIOException if the data does not match the type
   */
  public static <T> T read(ByteString data, Class<T> type) {
    try {
      return MAPPER.readValue(data.newInput(), type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Serializes a value to UTF-8 bytes. */
  public static ByteString write(Object value) {
    try {
      return ByteString.copyFrom(MAPPER.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Serializes a value to a string. */
  public static String text(Object value) {
    return write(value).toStringUtf8();
  }
}
