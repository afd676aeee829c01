package org.curranthaven.internal.bench;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept value at size 0
 * @param slope value added for each unit of size
 * @param maxRelativeError largest distance of a point from the line, as a share of the largest
 *     value
 */
public record LineFit(double intercept, double slope, double maxRelativeError) {

  /** A measured point. */
  public record Point(double size, double value) {}

  /** Fits a line. */
  public static LineFit of(List<Point> points) {
    double n = points.size();
    double sumX = points.stream().mapToDouble(Point::size).sum();
    double sumY = points.stream().mapToDouble(Point::value).sum();
    double sumXx = points.stream().mapToDouble(p -> p.size() * p.size()).sum();
    double sumXy = points.stream().mapToDouble(p -> p.size() * p.value()).sum();
    double slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    double base = (sumY - slope * sumX) / n;
    double largest = points.stream().mapToDouble(Point::value).max().orElse(1);
    double error =
        points.stream()
            .mapToDouble(p -> Math.abs(p.value() - base - slope * p.size()))
            .max()
            .orElse(0);
    return new LineFit(base, slope, error / largest);
  }

  /** Returns the value of the line at a size. */
  public double valueAt(double size) {
    return intercept + slope * size;
  }
}
