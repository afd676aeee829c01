package org.curranthaven.internal.catalog;

import java.util.List;
import java.util.Map;

/**
 * The region of each data centre that is known.
 *
 * @param byDataCentre names of regions by data centre
 */
public record DataCentreRegions(Map<String, String> byDataCentre) {
  public DataCentreRegions {
    byDataCentre = Map.copyOf(byDataCentre);
  }

  /** Returns the data centres in the regions, sorted; without those whose region is unknown. */
  public List<String> dataCentresIn(HomeRegions regions) {
    return byDataCentre.entrySet().stream()
        .filter(entry -> regions.names().contains(entry.getValue()))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }
}
