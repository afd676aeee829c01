package org.curranthaven.platform;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads parts of HTTP messages byte by byte, so that tests see what was sent. */
final class RawHttp {
  private static final int HEXADECIMAL = 16;

  private RawHttp() {}

  /** Returns a line without its end. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int octet = in.read(); octet != '\n'; octet = in.read()) {
      if (octet < 0) {
        throw new EOFException();
      }
      if (octet != '\r') {
        line.write(octet);
      }
    }
    return line.toString(StandardCharsets.US_ASCII);
  }

  /** Returns the headers; their names are in lower case. */
  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return headers;
  }

  /** Reads a body as its headers frame it; what was read before it broke off is kept. */
  static void readBody(InputStream in, Map<String, String> headers, ByteArrayOutputStream body)
      throws IOException {
    String length = headers.get("content-length");
    if (length != null) {
      readBytes(in, Integer.parseInt(length), body);
    } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      readChunks(in, body);
    } else {
      in.transferTo(body);
    }
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    int size = Integer.parseInt(readLine(in), HEXADECIMAL);
    while (size > 0) {
      readBytes(in, size, body);
      readLine(in);
      size = Integer.parseInt(readLine(in), HEXADECIMAL);
    }
    readLine(in);
  }

  private static void readBytes(InputStream in, int length, ByteArrayOutputStream body)
      throws IOException {
    for (int i = 0; i < length; i++) {
      int octet = in.read();
      if (octet < 0) {
        throw new EOFException();
      }
      body.write(octet);
    }
  }
}
