package org.curranthaven.internal.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Data folder of a host, locked against use by a second process.
 *
 * <p>The identity is created when the folder has none. A folder that was wiped gets a new identity:
 * the votes and log of its former replicas are lost, so it must not vote under their identity.
 */
public final class DataFolder implements Closeable {
  private static final String LOCK_NAME = "lock";
  private static final String IDENTITY_NAME = "identity";
  private static final String GROUP_PREFIX = "group-";

  /** File that exists while the groups of a new system are created. */
  private static final String UNFINISHED_NAME = "unfinished";

  private final Path path;
  private final String identity;
  private final FileChannel lockChannel;

  private DataFolder(Path path, String identity, FileChannel lockChannel) {
    this.path = path;
    this.identity = identity;
    this.lockChannel = lockChannel;
  }

  /**
   * Opens and locks the folder, creates its identity if it has none, and reads the files of every
   * group once, so that the host does not start with damaged data.
   */
  public static Outcome<DataFolder> open(Path path) {
    try {
      Files.createDirectories(path);
      FileChannel channel =
          FileChannel.open(
              path.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      Outcome<DataFolder> opened = openOrClose(path, channel);
      if (opened instanceof Outcome.Failed<DataFolder>) {
        channel.close();
      }
      return opened;
    } catch (IOException e) {
      return Outcome.failed(
          ResultCode.STORAGE_FAILED,
          "data folder "
              + path
              + " cannot be used: "
              + e.getMessage()
              + "; check that it is a writable directory");
    }
  }

  /** Opens the folder, and gives up its lock if that fails. */
  private static Outcome<DataFolder> openOrClose(Path path, FileChannel channel)
      throws IOException {
    try {
      return open(path, channel);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  private static Outcome<DataFolder> open(Path path, FileChannel channel) throws IOException {
    if (tryLock(channel) == null) {
      return Outcome.failed(
          ResultCode.DATA_FOLDER_LOCKED,
          "data folder "
              + path
              + " is used by another process; stop that process or configure another data folder");
    }
    DataFolder folder = new DataFolder(path, readOrCreateIdentity(path), channel);
    if (Files.exists(path.resolve(UNFINISHED_NAME))) {
      folder.discardGroups();
    }
    folder.removeBlankGroups();
    try {
      for (int groupId : folder.groupIds()) {
        GroupStorage.open(folder.groupFolder(groupId)).close();
      }
      return Outcome.success(folder);
    } catch (DamagedDataException e) {
      return Outcome.failed(ResultCode.DATA_DAMAGED, String.valueOf(e.getMessage()));
    }
  }

  private static @Nullable FileLock tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }

  private static String readOrCreateIdentity(Path path) throws IOException {
    Path file = path.resolve(IDENTITY_NAME);
    if (Files.exists(file)) {
      return Files.readString(file).strip();
    }
    String identity = UUID.randomUUID().toString();
    Path temporary = path.resolve(IDENTITY_NAME + ".tmp");
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer bytes = ByteBuffer.wrap(identity.getBytes(StandardCharsets.UTF_8));
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
      channel.force(true);
    }
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    RecordFiles.syncFolder(path);
    return identity;
  }

  /** Returns the identity of the folder, a random UUID. */
  public String identity() {
    return identity;
  }

  /** Returns the path of a group's subfolder, which may not exist yet. */
  public Path groupFolder(int groupId) {
    return path.resolve(GROUP_PREFIX + groupId);
  }

  /** Returns the numbers of the groups that have a subfolder, in ascending order. */
  public List<Integer> groupIds() throws IOException {
    try (Stream<Path> files = Files.list(path)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.startsWith(GROUP_PREFIX))
          .map(name -> Integer.valueOf(name.substring(GROUP_PREFIX.length())))
          .sorted()
          .toList();
    }
  }

  // ---- creation of the groups -------------------------------------------------------------------

  /** Starts to create groups: until they are committed, they are discarded at the next start. */
  void beginGroups() throws IOException {
    discardGroups();
    Files.createFile(path.resolve(UNFINISHED_NAME));
    RecordFiles.syncFolder(path);
  }

  /** Makes the created groups durable, all at once. */
  void commitGroups() throws IOException {
    RecordFiles.syncFolder(path);
    Files.delete(path.resolve(UNFINISHED_NAME));
    RecordFiles.syncFolder(path);
  }

  /** Removes groups that were not committed; nothing has been read from them or voted in them. */
  void discardGroups() throws IOException {
    for (int groupId : groupIds()) {
      deleteGroup(groupId);
    }
    RecordFiles.syncFolder(path);
    Files.deleteIfExists(path.resolve(UNFINISHED_NAME));
    RecordFiles.syncFolder(path);
  }

  /** Removes groups in which nothing was ever stored, as a full disk or a kill may leave them. */
  private void removeBlankGroups() throws IOException {
    for (int groupId : groupIds()) {
      if (isBlank(groupFolder(groupId))) {
        deleteGroup(groupId);
      }
    }
  }

  private static boolean isBlank(Path folder) throws IOException {
    for (Path file : filesIn(folder)) {
      if (Files.size(file) > 0) {
        return false;
      }
    }
    return true;
  }

  private void deleteGroup(int groupId) throws IOException {
    Path folder = groupFolder(groupId);
    for (Path file : filesIn(folder)) {
      Files.delete(file);
    }
    Files.delete(folder);
  }

  private static List<Path> filesIn(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.toList();
    }
  }

  @Override
  public void close() throws IOException {
    lockChannel.close();
  }
}
