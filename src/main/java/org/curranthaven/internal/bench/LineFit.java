package org.curranthaven.internal.bench;

import java.util.List;

/**
 * Straight line fitted to measured points by the method of least squares.
 *
 * @param intercept value at size 0
 * @param slope value added for each unit of size
 * @param maxRelativeError largest vertical distance of a point from the line, as a share of the
 *     largest value
 */
public record LineFit(double intercept, double slope, double maxRelativeError) {

  /** Value measured at a size. */
  public record Point(double size, double value) {}

  /** Fits a line to points of at least two different sizes. */
  public static LineFit of(List<Point> points) {
    double count = points.size();
    double sumX = points.stream().mapToDouble(Point::size).sum();
    double sumY = points.stream().mapToDouble(Point::value).sum();
    double sumXx = points.stream().mapToDouble(point -> point.size() * point.size()).sum();
    double sumXy = points.stream().mapToDouble(point -> point.size() * point.value()).sum();
    double slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    double intercept = (sumY - slope * sumX) / count;
    double largestValue = points.stream().mapToDouble(Point::value).max().orElse(1);
    double largestError =
        points.stream()
            .mapToDouble(point -> Math.abs(point.value() - intercept - slope * point.size()))
            .max()
            .orElse(0);
    return new LineFit(intercept, slope, largestError / largestValue);
  }

  /** Returns the value of the line at a size. */
  public double valueAt(double size) {
    return intercept + slope * size;
  }
}
