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

/** Files of batches of records, each batch with its length and checksum before it. */
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

  /** Reads the record at the buffer's position; returns null, position unmoved, if unsound. */
  static byte @Nullable [] readRecord(ByteBuffer file) {
    if (file.remaining() < HEADER_BYTES) {
      return null;
    }
    int length = file.getInt(file.position());
    if (length <= 0 || length > file.remaining() - HEADER_BYTES) {
      return null;
    }
    byte[] payload = new byte[length];
    file.get(file.position() + HEADER_BYTES, payload);
    if (checksum(payload) != file.getInt(file.position() + 4)) {
      return null;
    }
    file.position(file.position() + HEADER_BYTES + length);
    return payload;
  }

  /**
   * Reads every record of a segment.
   *
   * @param last whether an unsound end is a write that was cut short, and is removed
   * @throws DamagedDataException if a record before sound ones is unsound
   */
  static void readSegment(Path path, boolean last, Consumer<LogRecord> consumer)
      throws IOException {
    ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(path));
    while (file.hasRemaining()) {
      int offset = file.position();
      byte[] payload = readRecord(file);
      if (payload == null) {
        if (!last || hasValidRecordAfter(file, offset + 1)) {
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

  private static boolean hasValidRecordAfter(ByteBuffer file, int from) {
    for (int i = from; i + HEADER_BYTES < file.limit(); i++) {
      if (readRecord(file.duplicate().position(i)) != null) {
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
