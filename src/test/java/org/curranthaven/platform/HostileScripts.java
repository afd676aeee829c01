package org.curranthaven.platform;

import java.util.List;
import org.curranthaven.platform.HostileClients.Script;

/** What clients that do not behave send. */
final class HostileScripts {
  /** Limit on the head of a request in the catalog of {@link CrowdedHosts}. */
  static final int MAX_HEADER_BYTES = 16_384;

  /** Limit on the body of a request in that catalog. */
  static final int MAX_BODY_BYTES = 4_194_304;

  private static final int SMALL_BODY_BYTES = 60_000;
  private static final int UNENDED_TRAILER_BYTES = 60_000;
  private static final String SHORT_LINE = "a: b\r\n";
  private static final String TINY_CHUNK = "1\r\nx\r\n";

  private HostileScripts() {}

  /** Returns the request line and the ordinary headers, without the empty line after them. */
  private static String head(String method, String path) {
    return """
        %s %s HTTP/1.1\r
        Host: site.example\r
        Attempt-Id: crowd\r
        Deadline-Ms: 20000\r
        X-Api-Key: k1\r
        """
        .formatted(method, path);
  }

  /** Returns a whole request of one repeated line whose head has at most the given size. */
  private static String requestOfManyLines(String path, String line, int headBytes) {
    String start = head("GET", path);
    int lines = (headBytes - start.length() - 2) / line.length();
    return start + line.repeat(lines) + "\r\n";
  }

  /** Returns a whole request that ends its connection, and whose head has exactly the size. */
  static String lastRequestOfManyLines(String path, String line, int headBytes) {
    String start = head("GET", path) + "Connection: close\r\np:";
    String end = "\r\n\r\n";
    int freeBytes = headBytes - start.length() - end.length();
    return start
        + "x".repeat(freeBytes % line.length())
        + "\r\n"
        + line.repeat(freeBytes / line.length())
        + "\r\n";
  }

  /** Requests of legal size with many short lines, one behind the other without end. */
  static Script manyLines(String path) {
    return Script.endless("", requestOfManyLines(path, SHORT_LINE, MAX_HEADER_BYTES - 100));
  }

  /** Heads of legal size whose lines are odd, one behind the other without end. */
  static List<Script> oddLines() {
    List<String> lines =
        List.of(
            ": b\r\n",
            "ab\r\n",
            "a: b\r\n c\r\n",
            "\u00e9: \u00ff\r\n",
            "Host: x\r\n",
            "Content-Length: 0\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Connection: a\r\n");
    return lines.stream()
        .map(line -> requestOfManyLines("/slow/o", line, MAX_HEADER_BYTES - 100))
        .map(request -> Script.endless("", request))
        .toList();
  }

  /** A head that grows to the limit and never ends. */
  static Script unendedHead() {
    return Script.of(head("GET", "/quick/u"), SHORT_LINE, MAX_HEADER_BYTES - 4);
  }

  /** A head over the limit that goes on without end. */
  static Script endlessHead() {
    return Script.endless(head("GET", "/quick/e"), SHORT_LINE);
  }

  /** A request line without end. */
  static Script endlessRequestLine() {
    return Script.endless("GET /quick/", "x");
  }

  static Script emptyLines() {
    return Script.endless("", "\r\n");
  }

  private static String chunked(String path) {
    return head("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
  }

  /** Trailer lines without end after the last chunk. */
  static Script endlessTrailers() {
    return Script.endless(chunked("/quick/t") + TINY_CHUNK + "0\r\n", SHORT_LINE);
  }

  /** Trailer lines that never end, fewer than the decoder once allowed. */
  static Script unendedTrailers() {
    String start = chunked("/quick/t") + TINY_CHUNK + "0\r\n";
    return Script.of(start, SHORT_LINE, start.length() + UNENDED_TRAILER_BYTES);
  }

  /** A chunk extension without end. */
  static Script endlessChunkExtension() {
    return Script.endless(chunked("/quick/x") + "1;", "a=b;");
  }

  /** A small body of stated length that stops one byte short. */
  static Script shortOfSmallBody() {
    return shortOf("/slow/s", SMALL_BODY_BYTES);
  }

  /** A body at the limit, of stated length, that stops one byte short. */
  static Script shortOfLargeBody() {
    return shortOf("/slow/l", MAX_BODY_BYTES);
  }

  private static Script shortOf(String path, int bodyBytes) {
    String start = head("POST", path) + "Content-Length: " + bodyBytes + "\r\n\r\n";
    return Script.of(start, "x", start.length() + bodyBytes - 1);
  }

  /** A small body in chunks of one byte that stops one byte short. */
  static Script tinyChunks() {
    String start = chunked("/slow/c");
    long chunkBytes = (long) SMALL_BODY_BYTES * TINY_CHUNK.length();
    return Script.of(start, TINY_CHUNK, start.length() + chunkBytes - 1);
  }

  /** A body at the limit in chunks of 256 KB whose last byte is missing. */
  static Script largeChunks(String path, int bodyBytes) {
    String start = chunked(path);
    String chunk = "40000\r\n" + "x".repeat(0x40000) + "\r\n";
    long chunkBytes = (long) (bodyBytes / 0x40000) * chunk.length();
    return Script.of(start, chunk, start.length() + chunkBytes - 3);
  }

  /** Requests one behind the other without end whose responses are not read. */
  static Script unreadResponses(String path) {
    return Script.endless("", head("GET", path) + "\r\n").unread();
  }

  /** A whole request that is answered late, after which the connection stays open. */
  static Script slowRequest() {
    String request = head("GET", "/slow/w") + "\r\n";
    return Script.of(request, "", request.length());
  }

  /** All kinds that callers may send. */
  static List<Script> mixture() {
    return List.of(
        Script.silent(),
        manyLines("/slow/m"),
        unendedHead(),
        endlessHead(),
        endlessRequestLine(),
        emptyLines(),
        endlessTrailers(),
        unendedTrailers(),
        endlessChunkExtension(),
        shortOfSmallBody(),
        shortOfLargeBody(),
        tinyChunks(),
        largeChunks("/slow/k", MAX_BODY_BYTES),
        unreadResponses("/large/n"),
        slowRequest());
  }

  /** A whole request with a body at the limit in chunks of one size. */
  static String requestOfChunks(int chunkBytes, int bodyBytes) {
    String chunk = "%x\r\n%s\r\n".formatted(chunkBytes, "x".repeat(chunkBytes));
    return head("POST", "/quick/b")
        + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk.repeat(bodyBytes / chunkBytes)
        + "0\r\n\r\n";
  }
}
