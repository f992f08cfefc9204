package stonelb.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import javax.imageio.ImageIO;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws how the costs of the control service grow with the number of proxy streams, both axes logarithmic. */
final class ScalingChart {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 560;

    /** The smallest plotted value, since a logarithmic axis cannot show zero. */
    private static final double SMALLEST_VALUE = 0.01;

    /**
     * The figures at one number of streams.
     *
     * @param streams the number of streams
     * @param acknowledgementMs the 99th percentile from a change to its acknowledgement, in milliseconds
     * @param assignmentMs the 99th percentile from a usage report to the assignment, in milliseconds
     * @param heapMb the heap of the process in megabytes
     * @param changeKb the data sent on all streams together for one changed endpoint, in kilobytes
     */
    record Point(int streams, double acknowledgementMs, double assignmentMs, double heapMb, double changeKb) {}

    private ScalingChart() {}

    /**
     * Writes the chart. If that fails, an existing file stays unchanged.
     *
     * @param points the figures in ascending order of streams
     * @param file the PNG file to write
     */
    static void write(List<Point> points, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("Control service: cost by streams, ten clinics a stream")
                .xAxisTitle("proxy streams")
                .yAxisTitle("ms, MB, KB")
                .build();
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisLogarithmic(true);
        double[] streams = points.stream().mapToDouble(Point::streams).toArray();
        chart.addSeries("change to acknowledgement, p99 ms", streams, series(points, Point::acknowledgementMs));
        chart.addSeries("report to assignment, p99 ms", streams, series(points, Point::assignmentMs));
        chart.addSeries("heap, clients included, MB", streams, series(points, Point::heapMb));
        chart.addSeries("one changed endpoint, all streams, KB", streams, series(points, Point::changeKb));
        ImageIO.setUseCache(false); // the cache would write its own temporary file
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        AtomicFileWriter.write(file, out -> out.write(png));
    }

    private static double[] series(List<Point> points, ToDoubleFunction<Point> figure) {
        return points.stream()
                .mapToDouble(figure)
                .map(value -> Math.max(SMALLEST_VALUE, value))
                .toArray();
    }
}
