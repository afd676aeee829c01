package org.curranthaven.internal.settings;

/**
 * One fault of a settings file.
 *
 * @param line line in the file, from 1; 0 where the fault is not on one line
 * @param key key concerned, empty where none is
 * @param problem what is wrong
 * @param fix what to write instead
 */
public record SettingsFault(int line, String key, String problem, String fix) {
  /** Returns the fault as one line. */
  public String format(String file) {
    String place = line > 0 ? file + ":" + line : file;
    String subject = key.isEmpty() ? "" : key + ": ";
    return place + ": " + subject + problem + ". " + fix + ".";
  }
}
