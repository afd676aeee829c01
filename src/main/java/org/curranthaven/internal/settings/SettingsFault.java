package org.curranthaven.internal.settings;

/**
 * One fault found in a settings file.
 *
 * @param line line number, from 1; 0 if the fault does not concern a particular line
 * @param key key that the fault concerns; empty if none
 * @param problem what is wrong
 * @param fix what the operator should do
 */
public record SettingsFault(int line, String key, String problem, String fix) {
  /** Returns the fault as one line: the place in the file, the key, the problem and the fix. */
  public String format(String file) {
    String location = line > 0 ? file + ":" + line : file;
    String keyPrefix = key.isEmpty() ? "" : key + ": ";
    return location + ": " + keyPrefix + problem + ". " + fix + ".";
  }
}
