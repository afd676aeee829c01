package org.curranthaven.internal.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.ValueNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/**
 * Reads and writes JSON as trees, without an object mapper: setting one up takes a host that starts
 * an eighth of the time until it listens.
 *
 * <pre>{@code
 * JsonNode document = JsonTrees.read(body);
 * byte[] bytes = JsonTrees.write(document);
 * }</pre>
 */
public final class JsonTrees {
  /** Bounds the memory of a document, which takes many times its length as a tree. */
  static final long MAX_TOKENS = 1_000_000;

  private static final JsonFactory PLAIN =
      JsonFactory.builder()
          .streamReadConstraints(StreamReadConstraints.builder().maxTokenCount(MAX_TOKENS).build())
          .build();
  private static final JsonFactory WITH_COMMENTS =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private JsonTrees() {}

  /**
   * Reads a document; of members with the same name, the last one counts. Returns a missing node if
   * the document is empty.
   *
   * @throws IOException if it is not valid JSON, or has more than {@link #MAX_TOKENS} tokens
   */
  public static JsonNode read(byte[] document) throws IOException {
    try (JsonParser parser = PLAIN.createParser(document)) {
      return parser.nextToken() == null ? MissingNode.getInstance() : readValue(parser);
    }
  }

  /** Returns a parser for operators' files, which may contain comments and trailing commas. */
  static JsonParser parserWithComments(String text) throws IOException {
    return WITH_COMMENTS.createParser(text);
  }

  /** Reads the value at the parser's current token; the parser then is at its last token. */
  static JsonNode readValue(JsonParser parser) throws IOException {
    Deque<ContainerNode<?>> open = new ArrayDeque<>();
    Deque<String> names = new ArrayDeque<>();
    String name = "";
    JsonToken token = parser.currentToken();
    while (true) {
      JsonNode complete;
      switch (token) {
        case FIELD_NAME -> {
          name = parser.currentName();
          token = nextToken(parser);
          continue;
        }
        case START_OBJECT, START_ARRAY -> {
          names.push(name);
          open.push(
              token == JsonToken.START_OBJECT
                  ? JsonNodeFactory.instance.objectNode()
                  : JsonNodeFactory.instance.arrayNode());
          token = nextToken(parser);
          continue;
        }
        case END_OBJECT, END_ARRAY -> {
          complete = open.pop();
          name = names.pop();
        }
        default -> complete = scalar(parser, token);
      }
      ContainerNode<?> parent = open.peek();
      if (parent == null) {
        return complete;
      }
      if (parent instanceof ObjectNode object) {
        object.set(name, complete);
      } else {
        ((ArrayNode) parent).add(complete);
      }
      token = nextToken(parser);
    }
  }

  private static JsonToken nextToken(JsonParser parser) throws IOException {
    JsonToken token = parser.nextToken();
    if (token == null) {
      throw new IOException("the JSON document is incomplete");
    }
    return token;
  }

  private static ValueNode scalar(JsonParser parser, JsonToken token) throws IOException {
    JsonNodeFactory nodes = JsonNodeFactory.instance;
    return switch (token) {
      case VALUE_STRING -> nodes.textNode(parser.getText());
      case VALUE_TRUE -> nodes.booleanNode(true);
      case VALUE_FALSE -> nodes.booleanNode(false);
      case VALUE_NULL -> nodes.nullNode();
      case VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.getDoubleValue());
      case VALUE_NUMBER_INT ->
          switch (parser.getNumberType()) {
            case INT -> nodes.numberNode(parser.getIntValue());
            case LONG -> nodes.numberNode(parser.getLongValue());
            default -> nodes.numberNode(parser.getBigIntegerValue());
          };
      default -> throw new IOException("unexpected token " + token + " in a JSON document");
    };
  }

  /** Writes an object whose values are strings, numbers, truth values, null or objects. */
  public static byte[] write(ObjectNode object) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator generator = PLAIN.createGenerator(out)) {
      writeObject(generator, object);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  private static void writeObject(JsonGenerator generator, ObjectNode object) throws IOException {
    generator.writeStartObject();
    for (Map.Entry<String, JsonNode> member : object.properties()) {
      generator.writeFieldName(member.getKey());
      writeMember(generator, member.getValue());
    }
    generator.writeEndObject();
  }

  private static void writeMember(JsonGenerator generator, JsonNode value) throws IOException {
    switch (value.getNodeType()) {
      case STRING -> generator.writeString(value.textValue());
      case BOOLEAN -> generator.writeBoolean(value.booleanValue());
      case NULL -> generator.writeNull();
      case NUMBER -> generator.writeNumber(value.asText());
      case OBJECT -> writeObject(generator, (ObjectNode) value);
      default ->
          throw new IllegalArgumentException(
              "a value of type " + value.getNodeType() + " cannot be written as a member");
    }
  }
}
