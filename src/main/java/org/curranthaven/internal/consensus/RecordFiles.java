package org.curranthaven.internal.consensus;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import org.curranthaven.internal.transport.wire.LogRecord;
import org.jspecify.annotations.Nullable;

/** Reads and writes files of record batches, each preceded by its length and checksum. */
final class RecordFiles {
  private static final int HEADER_BYTES = 8;

  private RecordFiles() {}

  static void write(FileChannel channel, byte[] payload) throws IOException {
    ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    record.putInt(payload.length).putInt(checksum(payload)).put(payload).flip();
    while (record.hasRemaining()) {
      channel.write(record);
    }
  }

  /**
   * Reads the payload at the buffer's position and advances past it. Returns null, with the
   * position unchanged, if the record is incomplete or fails its checksum.
   */
  static byte @Nullable [] readRecord(ByteBuffer buffer) {
    if (buffer.remaining() < HEADER_BYTES) {
      return null;
    }
    int length = buffer.getInt(buffer.position());
    // A zero-filled tail must not count as a record: the checksum of an empty payload is 0.
    if (length <= 0 || length > buffer.remaining() - HEADER_BYTES) {
      return null;
    }
    byte[] payload = new byte[length];
    buffer.get(buffer.position() + HEADER_BYTES, payload);
    if (checksum(payload) != buffer.getInt(buffer.position() + 4)) {
      return null;
    }
    buffer.position(buffer.position() + HEADER_BYTES + length);
    return payload;
  }

  /**
   * Reads all records of a segment.
   *
   * @param last whether this is the last segment, where an invalid tail is taken for an incomplete
   *     write and truncated
   * @throws DamagedDataException if a record is invalid and is not such a tail
   */
  static void readSegment(Path path, boolean last, Consumer<LogRecord> consumer)
      throws IOException {
    ByteBuffer buffer = ByteBuffer.wrap(Files.readAllBytes(path));
    while (buffer.hasRemaining()) {
      int offset = buffer.position();
      byte[] payload = readRecord(buffer);
      if (payload == null) {
        if (!last || hasValidRecordAfter(buffer, offset + 1)) {
          throw new DamagedDataException(path, offset);
        }
        truncateTail(path, offset);
        return;
      }
      ByteArrayInputStream batch = new ByteArrayInputStream(payload);
      LogRecord record = LogRecord.parseDelimitedFrom(batch);
      while (record != null) {
        consumer.accept(record);
        record = LogRecord.parseDelimitedFrom(batch);
      }
    }
  }

  private static boolean hasValidRecordAfter(ByteBuffer buffer, int from) {
    for (int i = from; i + HEADER_BYTES < buffer.limit(); i++) {
      if (readRecord(buffer.duplicate().position(i)) != null) {
        return true;
      }
    }
    return false;
  }

  private static void truncateTail(Path path, long offset) throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
      channel.truncate(offset);
      channel.force(true);
    }
  }

  static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private static int checksum(byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(payload);
    return (int) crc.getValue();
  }
}
