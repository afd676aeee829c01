package org.curranthaven.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against documents that are read or written otherwise than by the object mapper. */
class JsonTreesTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void a_document_is_read_as_by_the_object_mapper() throws IOException {
    List<String> documents =
        List.of(
            "{}",
            "[]",
            "7",
            "\"text\"",
            "null",
            "{\"a\": {\"b\": [1, [2.5, {\"c\": null}], true]}, \"d\": [], \"e\": {}, \"f\": -3}",
            "[12345678901, 123456789012345678901234567890, 1e3, \"\\u00fc\\n\"]",
            "{\"twice\": 1, \"twice\": {\"second\": 2}}",
            "{\"a\": 1} and more",
            " ");
    for (String document : documents) {
      JsonNode expected = Json.LENIENT.readTree(bytes(document));

      assertThat(JsonTrees.read(bytes(document))).as(document).isEqualTo(expected);
    }
  }

  @Test
  void an_incomplete_or_invalid_document_is_rejected() {
    for (String document : List.of("{\"a\": [1, 2", "{\"a\"", "[1,]", "{a: 1}", "// x\n1", "}")) {
      assertThatThrownBy(() -> JsonTrees.read(bytes(document)))
          .as(document)
          .isInstanceOf(IOException.class);
    }
  }

  @Test
  void a_document_that_is_nested_too_deeply_is_rejected() {
    byte[] document = bytes("[".repeat(100_000));

    assertThatThrownBy(() -> JsonTrees.read(document)).isInstanceOf(IOException.class);
  }

  @Test
  void an_object_is_written_as_by_the_object_mapper() {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    object.put("text", "a \"quoted\" line\nand \u00fc").put("number", 17).put("fraction", 0.25);
    object.put("long", 12_345_678_901L).put("yes", true).putNull("nothing");
    object.putObject("inner").put("code", 1003);

    assertThat(JsonTrees.write(object)).isEqualTo(Json.write(object).toByteArray());
  }

  /** Guards against a small request whose tree fills the memory of the host. */
  @Test
  void a_document_with_too_many_values_is_rejected() {
    int objects = (int) JsonTrees.MAX_TOKENS / 2;
    byte[] document = ("[" + "{},".repeat(objects) + "{}]").getBytes(StandardCharsets.UTF_8);

    assertThatThrownBy(() -> JsonTrees.read(document)).isInstanceOf(IOException.class);
  }
}
